//! Claims and bills on the object API.
//!
//! The journal is a sharded append-only log whose segments are written by conditional create. It is a plain state
//! machine: [`event::Event`]s and the present time go in, [`event::Effect`]s come out.

pub mod event;
mod message;

pub use message::JournalMessage;
