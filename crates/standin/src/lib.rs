//! Stand-ins for the platform and the backend servers, with switchable faults.
//!
//! `foxtailhoist dev` and the tests start them on loopback, individually or as a complete [`Deployment`]. Each has a
//! `start` that returns a handle with the bound address, a `close` that consumes the handle, and `POST /faults`, whose
//! JSON body replaces all of its faults: `{}` switches every fault off.

mod connections;
mod deployment;
mod draw;
mod engine;
mod host_list;
mod http;
mod listener;
mod object_api;
mod plain_service;
mod rate;
mod rating;
mod sync;
mod weight_store;

pub use deployment::Deployment;
pub use deployment::DeploymentAddresses;
pub use deployment::DeploymentSpec;
pub use deployment::ServiceSpec;
pub use engine::BadVersion;
pub use engine::EngineFaults;
pub use engine::EngineServer;
pub use engine::EngineSpec;
pub use engine::EngineStats;
pub use host_list::HostListFaults;
pub use host_list::HostListServer;
pub use host_list::PresenceChange;
pub use listener::CRASH_DOWNTIME;
pub use object_api::ObjectApiFaults;
pub use object_api::ObjectApiServer;
pub use object_api::ObjectApiSpec;
pub use object_api::ObjectApiStats;
pub use plain_service::PlainServiceFaults;
pub use plain_service::PlainServiceServer;
pub use plain_service::RenewalCounts;
pub use rating::RatingFaults;
pub use rating::RatingServer;
pub use rating::RatingSpec;
pub use rating::UNACCEPTABLE_MARK;
pub use weight_store::WeightStoreServer;
pub use weight_store::WeightStoreSpec;
