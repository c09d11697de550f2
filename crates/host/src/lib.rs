//! One entry host as a pure state machine, composed of the decision crates.
//!
//! [`EntryHost`] takes [`event::Event`]s and the present time and returns [`event::Effect`]s. It joins router, journal,
//! membership, configuration and roll-outs: what one of them asks of another is passed on inside, and only what
//! concerns the world outside comes out. The shell in production, the scenarios and the random runs all drive this
//! type, so they all run the same decisions.

mod by_config;
mod by_journal;
mod by_peers;
mod by_rollout;
mod by_router;
mod calls;
mod config;
mod entry_host;
pub mod event;
mod message;
pub mod operator;
mod operators;
mod readers;
mod servers;
mod sessions;
mod tally;
mod vetoes;

pub use config::HostConfig;
pub use entry_host::EntryHost;
pub use message::HostMessage;
