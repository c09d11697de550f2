//! Decides for one request: model, version, backend server, retries and limits.
//!
//! The crate has two state machines without I/O. [`Router`], driven by the host crate, takes [`event::Event`]s and the
//! current time and returns [`event::Effect`]s. [`dispatch::Dispatcher`], driven by the HTTP relay, returns the next
//! step of each request. They own no socket, task, clock or global source of randomness, so production, tests and
//! measurements run the same code.
//!
//! Each mechanism has a module of its own. Those of the router can be switched off in [`RouterConfig`], so that a
//! measurement can show their effect.

mod active_request;
mod attempt_times;
pub mod backends;
pub mod blame;
mod budget;
mod config;
mod deal;
mod destination;
pub mod dispatch;
mod evacuation;
pub mod event;
pub mod exposure;
pub mod fair_share;
pub mod homes;
pub mod in_flight;
mod latency_pressure;
mod lifecycle;
mod limit;
mod orders;
mod permit;
mod poison;
mod quality;
mod queue;
mod queue_delay;
pub mod reach;
pub mod retry_window;
mod router;
pub mod routes;
mod sampling;
mod servers;
pub mod session;
pub mod shared;
pub mod start_up;
mod stats;
mod stream_time;
pub mod version_rule;
pub mod view;

pub use config::Mechanisms;
pub use config::RouterConfig;
pub use permit::Permit;
pub use router::Router;
pub use stats::Stats;
