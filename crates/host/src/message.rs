//! Messages between entry hosts.

use bytes::Bytes;
use foxtailhoist_journal::JournalMessage;
use foxtailhoist_peers::PeerMessage;
use foxtailhoist_route::shared::SharedQuality;
use serde::Deserialize;
use serde::Serialize;

/// Envelope of every message between entry hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostMessage {
    Journal(JournalMessage),
    Peers(PeerMessage),
    Quality(SharedQuality),
}

impl HostMessage {
    /// The message in MessagePack.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec(self).expect("messages hold nothing that MessagePack cannot").into()
    }

    /// Reads a message; `None` for anything else.
    #[must_use]
    pub fn decode(body: &[u8]) -> Option<HostMessage> {
        rmp_serde::from_slice(body).ok()
    }
}
