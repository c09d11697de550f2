//! Scripted scenarios in a small YAML language, in virtual time.
//!
//! A scenario defines a deployment, traffic, timed acts (faults and operators' commands) and expectations. [`World`]
//! holds several [`foxtailhoist_host::EntryHost`]s, fakes for everything outside them and an event queue in virtual
//! time; the same file and seed give the same trace. Random runs drive the same [`World`] with acts drawn from a
//! generator. The fakes are deliberately small: they simulate the faults that the system must tolerate and nothing
//! else.

mod act;
mod apply_act;
mod backends;
mod callers;
mod default;
mod effects;
mod final_checks;
mod network;
mod observations;
mod run;
mod send;
mod span;
mod spec;
mod store;
mod trace;
mod violation;
mod world;

pub use act::Act;
pub use act::EngineFault;
pub use act::StoreFault;
pub use backends::Backends;
pub use callers::Call;
pub use callers::PlannedRequest;
pub use callers::Traffic;
pub use observations::Observations;
pub use observations::RequestOutcome;
pub use run::RunReport;
pub use run::run;
pub use span::Span;
pub use spec::Scenario;
pub use spec::SpecError;
pub use spec::TimedAct;
pub use trace::Trace;
pub use violation::Violation;
pub use world::World;
pub use world::WorldConfig;
