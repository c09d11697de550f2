//! Messages between entry hosts about membership and what they share.

use serde::Deserialize;
use serde::Serialize;

/// A message between entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {}
