//! Messages between the journals of entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// A message between journals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalMessage {}
