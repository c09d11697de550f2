//! Decides for one request: model, version, backend server, retries and limits.
//!
//! The router is a plain state machine. [`event::Event`]s and the present time go in, [`event::Effect`]s come out; it
//! owns no socket, task, clock or global source of randomness, so production, tests and measurements run the same
//! code.

pub mod event;
