//! Membership of the entry hosts and the spread of what they share.
//!
//! It is a plain state machine: [`event::Event`]s and the present time go in, [`event::Effect`]s come out. Members
//! follow the host list; every host watches the store itself.

pub mod event;
mod message;
mod peers;

pub use message::PeerMessage;
pub use peers::Peers;
pub use peers::PeersConfig;
