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
    /// Encodes the message as MessagePack.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec(self).expect("every message can be encoded as MessagePack").into()
    }

    /// Decodes a message; `None` if the body is not one of this release's messages.
    #[must_use]
    pub fn decode(body: &[u8]) -> Option<HostMessage> {
        rmp_serde::from_slice(body).ok()
    }
}
