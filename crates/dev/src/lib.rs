//! Entry hosts and stand-ins in one process, on loopback: what `foxtailhoist dev` runs and end-to-end tests drive.
//!
//! [`Fleet::start`] starts a deployment of stand-ins and any number of entry hosts, spread over the data centres, and
//! returns once the first configuration is in force on all of them. [`Fleet::close`] stops them in order.

mod fleet;

pub use fleet::DATA_CENTRES;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::FleetOptions;
pub use fleet::OPERATOR_KEYS;
pub use fleet::PEER_KEY;
