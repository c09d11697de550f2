//! One entry host as a pure state machine, composed of the decision crates.
