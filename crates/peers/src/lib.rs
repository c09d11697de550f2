//! Membership of the entry hosts and replication of the state they share.
//!
//! Hosts of a data centre exchange heartbeats; two hosts of each, its delegate and deputy, connect the data centres.
//! [`Peers`] is a state machine without I/O: [`event::Event`]s and the current time go in, [`event::Effect`]s come out.
//! It composes bounded tables of members and their states, announcements, tallies, data centres and sessions, and the
//! configuration in force. The separate module [`feeds`] selects the hosts that watch the store and the sources of the
//! others.

mod centre;
mod detector;
pub mod event;
pub mod feeds;
mod hash;
mod member;
pub mod message;
mod peers;
mod replica;
mod session;
mod tally;
mod updates;
mod view;

pub use hash::ranked_hosts;
pub use member::PeerChart;
pub use member::PeerEvent;
pub use member::PeerState;
pub use member::peer_chart;
pub use message::PeerMessage;
pub use peers::Peers;
pub use peers::PeersConfig;
pub use peers::TableSizes;
pub use session::SessionKey;
