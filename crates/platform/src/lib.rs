//! Edge traits of the process and their HTTP clients.
//!
//! Traits stand only here, where the process meets the platform, the backend servers and its peers. The decision
//! crates know none of them: the shell performs their effects through these traits, and tests put fakes in place.

mod edge;

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
