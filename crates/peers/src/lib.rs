//! Membership of the entry hosts and the spread of what they share.
//!
//! Heartbeats within a data centre, delegates between data centres. It is a plain state machine: [`event::Event`]s
//! and the present time go in, [`event::Effect`]s come out. [`Peers`] composes small tables, each with its own bound:
//! members and their states, announcements, evidence, data centres, sessions, and the configuration in force.

mod centre;
mod detector;
pub mod event;
pub mod feeds;
mod hash;
mod member;
pub mod message;
mod peers;
mod rumour;
mod session;
mod spread;
mod tally;
mod view;

pub use hash::homes;
pub use member::PeerChart;
pub use member::PeerEvent;
pub use member::PeerState;
pub use member::peer_chart;
pub use message::PeerMessage;
pub use peers::Peers;
pub use peers::PeersConfig;
pub use peers::TableSizes;
pub use session::SessionKey;
