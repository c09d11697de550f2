//! Judges versions and leads their roll-outs.
//!
//! Every entry host judges; one, under a lease in the object API, makes the outcome formal. Both are plain state
//! machines: [`event::Event`]s and the present time go in, [`event::Effect`]s come out.

pub mod event;
