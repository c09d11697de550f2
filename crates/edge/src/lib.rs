//! Traits for the services outside the process, and their HTTP clients.
//!
//! Traits are used only at this boundary to the platform, the backend servers and the peers. The decision crates do not
//! depend on them: the server crate's driver performs their effects through these traits, and tests substitute fakes.
//!
//! Each client is cheap to clone, takes its timeouts from [`ClientSettings`], holds a connection pool for each server
//! and retires it when the server's connections go silent. The wire types that the stand-in services send are public,
//! so that both ends share one definition.

mod answer;
mod api;
mod backend;
mod call;
mod client;
mod completion;
mod counter;
mod diagnosis;
pub mod headers;
mod objects;
mod peers;
mod services;
mod sse;

pub use api::AttemptOutput;
pub use api::AttemptRequest;
pub use api::AttemptStart;
pub use api::BackendApi;
pub use api::EngineFeed;
pub use api::HostList;
pub use api::HostListApi;
pub use api::ObjectApi;
pub use api::PeerApi;
pub use api::PeerError;
pub use api::PlatformError;
pub use api::RatingApi;
pub use api::RatingRequest;
pub use backend::HttpBackend;
pub use client::CONNECT_TIMEOUT;
pub use client::ClientSettings;
pub use client::ClientSettingsBuilder;
pub use client::HEAD_TIMEOUT;
pub use client::IDLE_TIMEOUT;
pub use client::POOLS_LIMIT;
pub use client::PROBE_TIMEOUT;
pub use completion::Choice;
pub use completion::ChunkChoice;
pub use completion::Completion;
pub use completion::CompletionChunk;
pub use completion::CompletionError;
pub use completion::CompletionRequest;
pub use completion::CompletionUsage;
pub use completion::Message;
pub use completion::STREAM_END;
pub use completion::SharedPrefix;
pub use completion::estimated_tokens;
pub use counter::CallCounter;
pub use counter::CallTotals;
pub use diagnosis::AttemptState;
pub use diagnosis::AttemptStatus;
pub use objects::HttpObjectApi;
pub use objects::ObjectPage;
pub use peers::HttpPeers;
pub use peers::PEER_CONTENT_TYPE;
pub use services::HttpHostList;
pub use services::HttpRating;
pub use services::RATING_TIMEOUT;
