//! Membership of the entry hosts and the spread of what they share.
//!
//! Heartbeats within a data centre, delegates between data centres. It is a plain state machine: [`event::Event`]s
//! and the present time go in, [`event::Effect`]s come out.

pub mod event;
mod message;

pub use message::PeerMessage;
