//! Entry hosts and stand-ins in one process, on loopback, for `foxtailhoist dev` and end-to-end tests.
//!
//! [`Fleet::start`] starts a deployment of stand-ins and any number of entry hosts, spread over the data centres, and
//! returns once the first configuration is in force on all of them. [`Fleet::close`] stops the entry hosts in order,
//! then the stand-ins.

mod fleet;

pub use fleet::DATA_CENTRES;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::FleetOptions;
pub use fleet::OPERATOR_KEYS;
pub use fleet::PEER_KEY;
