//! Scripted scenarios in a small YAML language, in virtual time.
//!
//! A scenario names a deployment, traffic, timed acts (faults and operators' commands) and expectations. [`World`]
//! holds several [`foxtailhoist_host::EntryHost`]s, fakes for everything outside of them and a queue of events in
//! virtual time; the same file and seed give the same trace. Random runs drive the same [`World`] with acts drawn from
//! a generator. The fakes are small on purpose: they fail in the ways that the brief lists and do nothing else.

mod act;
mod acts;
mod audit;
mod backends;
mod book;
mod callers;
mod check;
mod default;
mod effects;
mod network;
mod run;
mod send;
mod span;
mod spec;
mod store;
mod trace;
mod world;

pub use act::Act;
pub use act::EngineFault;
pub use act::StoreFault;
pub use backends::Backends;
pub use book::Book;
pub use book::Ending;
pub use callers::Call;
pub use callers::Traffic;
pub use callers::Turn;
pub use check::Violation;
pub use run::Outcome;
pub use run::run;
pub use span::Span;
pub use spec::Scenario;
pub use spec::SpecError;
pub use spec::TimedAct;
pub use trace::Trace;
pub use world::World;
pub use world::WorldConfig;
