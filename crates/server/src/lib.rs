//! HTTP interface of an entry host, and the driver that performs its effects.
//!
//! [`Server::start`] binds the listeners for callers, operators and peers, and drives one
//! [`foxtailhoist_host::EntryHost`]: network activity becomes events, and the resulting effects are performed through
//! [`Clients`]. The server makes no decisions, so that all decisions can be tested without it.

mod answers;
mod attempt;
mod burn;
mod chat;
mod clients;
mod config;
mod driver;
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

pub use clients::Clients;
pub use clients::PlatformAddresses;
pub use config::Identity;
pub use config::Limits;
pub use config::Listen;
pub use config::ServerConfig;
pub use config::TlsFiles;
pub use keys::KeyRing;
pub use server::Server;
pub use server::StartError;
