//! Edge traits of the process and their HTTP clients.
//!
//! Traits stand only here, where the process meets the platform, the backend servers and its peers. The decision
//! crates know none of them: the shell performs their effects through these traits, and tests put fakes in place.
//!
//! Each client is cheap to clone, takes its time-outs from [`ClientSettings`], holds a pool of connections for each
//! server and retires it when the server's connections go silent. The types of the wire that the stand-ins answer with
//! are public here, so that both ends share one definition.

mod answer;
mod backend;
mod call;
mod client;
mod completion;
mod counter;
mod diagnosis;
mod edge;
pub mod headers;
mod objects;
mod peers;
mod services;
mod sse;

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
pub use edge::AttemptOutput;
pub use edge::AttemptRequest;
pub use edge::AttemptStart;
pub use edge::BackendApi;
pub use edge::EngineFeed;
pub use edge::HostList;
pub use edge::HostListApi;
pub use edge::ObjectApi;
pub use edge::PeerApi;
pub use edge::PeerError;
pub use edge::PlatformError;
pub use edge::RatingApi;
pub use edge::RatingRequest;
pub use objects::HttpObjectApi;
pub use objects::ObjectPage;
pub use peers::HttpPeers;
pub use peers::PEER_CONTENT_TYPE;
pub use services::HttpHostList;
pub use services::HttpRating;
pub use services::RATING_TIMEOUT;
