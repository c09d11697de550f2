//! One entry host as a pure state machine, composed of the decision crates.
//!
//! [`EntryHost`] takes [`event::Event`]s and the current time and returns [`event::Effect`]s. It combines router,
//! journal, membership, configuration and roll-outs: events between these components are passed on internally, and
//! only effects on the outside are returned. The server crate's driver, the scenarios and the randomised tests
//! all drive this type, so they make the same decisions.

mod calls;
mod commands;
mod config;
mod config_effects;
mod entry_host;
pub mod event;
mod journal_effects;
mod message;
pub mod operator;
mod peers_effects;
mod readers;
mod rollout_effects;
mod router_effects;
mod servers;
mod sessions;
mod tally;
mod vetoes;

pub use config::HostConfig;
pub use entry_host::EntryHost;
pub use message::HostMessage;
