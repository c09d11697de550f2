//! HTTP interface of an entry host and the shell that performs its effects.
//!
//! [`Server::start`] binds the listeners for callers, operators and peers, and drives one
//! [`foxtailhoist_host::EntryHost`]: what happens on the network becomes events, and the effects that come back are
//! carried out through the edges of the process. The server decides nothing by itself, so that whatever is decided
//! can be tested without it.

mod answers;
mod attempt;
mod burn;
mod chat;
mod config;
mod edges;
mod http;
mod keys;
mod listener;
mod logs;
mod metrics;
mod perform;
mod poll;
mod ratings;
pub mod recorder;
pub mod registry;
mod server;
mod shell;

pub use config::Identity;
pub use config::Limits;
pub use config::Listen;
pub use config::ServerConfig;
pub use config::TlsFiles;
pub use edges::Edges;
pub use edges::Platform;
pub use keys::KeyRing;
pub use server::Server;
pub use server::StartError;
