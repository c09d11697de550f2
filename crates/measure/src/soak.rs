//! Long randomised runs with fault injection and invariant checks.
//!
//! A run consists of rounds. Each round injects up to three overlapping faults, then repairs them and leaves a quiet
//! period. Traffic continues throughout, and operators switch presets, roll versions out and issue conflicting
//! commands. A violated invariant inside an entry host panics; what callers, servers and the store observed is checked
//! at the end.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_scenario::Act;
use foxtailhoist_scenario::Call;
use foxtailhoist_scenario::EngineFault;
use foxtailhoist_scenario::PlannedRequest;
use foxtailhoist_scenario::RequestOutcome;
use foxtailhoist_scenario::Scenario;
use foxtailhoist_scenario::Span;
use foxtailhoist_scenario::StoreFault;
use foxtailhoist_scenario::Traffic;
use foxtailhoist_scenario::World;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Length of a round.
const ROUND_LENGTH: Duration = Duration::from_secs(60);
/// Time into a round at which all faults are repaired.
const FAULTS_UNTIL: Duration = Duration::from_secs(40);
/// Quiet period at the end of a run.
const FINAL_QUIET: Duration = Duration::from_secs(180);
/// Time before the first round, in which hosts adopt their configuration.
const START_TIME: Duration = Duration::from_secs(5);
const REQUESTS_PER_ROUND: u64 = 240;
/// Probability of operator commands in a round.
const OPERATOR_CHANCE: f64 = 0.4;
const DATA_CENTRES: [&str; 3] = ["nashua", "lowell", "concord"];

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakReport {
    pub seed: u64,
    pub steps: u64,
    pub virtual_seconds: u64,
    pub rounds: u64,
    /// Injected faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Operator commands that succeeded.
    pub operators_done: u64,
    /// Operator commands that were refused.
    pub operators_refused: u64,
    /// Number of requests by how they ended.
    pub endings: BTreeMap<String, u64>,
    /// Distinct renewals that a backend server has started.
    pub renewals_run: u64,
    /// Bills in the store at the end.
    pub bills: u64,
    /// Violated invariants; empty in a successful run.
    pub violations: Vec<String>,
}

/// Runs until at least `steps` events have been processed, then restarts hosts that are down, waits for a quiet period
/// and checks the invariants.
///
/// # Panics
///
/// Panics when an invariant inside an entry host is violated.
#[must_use]
pub fn run(seed: u64, steps: u64) -> SoakReport {
    let mut soak = Soak::new(seed);
    while soak.world.steps() < steps {
        soak.run_round();
    }
    soak.finish()
}

struct Soak {
    world: World,
    rng: ChaCha8Rng,
    now: Duration,
    sent: u32,
    report: SoakReport,
}

impl Soak {
    fn new(seed: u64) -> Soak {
        let scenario = Scenario { seed, traffic: traffic(), ..Scenario::named("soak") };
        let mut world = World::new(scenario.world());
        world.run_until(START_TIME, u64::MAX);
        let report = SoakReport { seed, ..SoakReport::default() };
        Soak { world, rng: ChaCha8Rng::seed_from_u64(seed), now: START_TIME, sent: 0, report }
    }

    fn run_round(&mut self) {
        self.report.rounds += 1;
        for _ in 0..REQUESTS_PER_ROUND {
            let request = PlannedRequest {
                traffic: self.rng.random_range(0..3),
                number: self.sent,
                resend: 0,
            };
            self.sent += 1;
            let at = self.now + ROUND_LENGTH.mul_f64(self.rng.random());
            self.world.send_at(at, request);
        }
        for _ in 0..self.rng.random_range(0..=3) {
            self.schedule_fault();
        }
        if self.rng.random_bool(OPERATOR_CHANCE) {
            self.schedule_operators();
        }
        self.world.act_at(self.now + FAULTS_UNTIL, Act::Mend);
        self.world.act_at(self.now + FAULTS_UNTIL, Act::Store(StoreFault::None));
        self.now += ROUND_LENGTH;
        self.world.run_until(self.now, u64::MAX);
    }

    fn schedule_fault(&mut self) {
        let at = self.now + FAULTS_UNTIL.mul_f64(self.rng.random::<f64>() * 0.7);
        let kind = self.rng.random_range(0..13);
        let name = match kind {
            0 => self.kill_and_restart(at),
            1 => self.schedule(at, Act::Store(StoreFault::Down), "store_down"),
            2 => self.schedule(at, Act::Store(StoreFault::Slow(seconds(2))), "store_slow"),
            3 => self.schedule(at, Act::Store(StoreFault::LoseAnswers(0.3)), "store_answers_lost"),
            4 => self.schedule(at, Act::Store(StoreFault::StaleReads), "store_stale"),
            5 => {
                let late = StoreFault::LateWrites { share: 0.3, late: seconds(10) };
                self.schedule(at, Act::Store(late), "store_late_writes")
            }
            6 => self.cut_link(at),
            7 => self.isolate_data_centre(at),
            8 => {
                let length = Span(Duration::from_millis(self.rng.random_range(500..25_000)));
                let host = self.random_host();
                self.schedule(at, Act::Pause { host, length }, "host_paused")
            }
            9 => self.stop_and_restart(at),
            10 => self.schedule_engine_fault(at, EngineFault::Crash(seconds(5)), "server_crash"),
            11 => self.schedule_engine_fault(at, EngineFault::Silent, "connections_silent"),
            _ => self.schedule_engine_fault(at, EngineFault::Crossed, "answers_crossed"),
        };
        *self.report.faults.entry(name.to_owned()).or_default() += 1;
    }

    /// Schedules an action; returns `name`, the fault's kind in the report.
    fn schedule(&mut self, at: Duration, act: Act, name: &'static str) -> &'static str {
        self.world.act_at(at, act);
        name
    }

    fn kill_and_restart(&mut self, at: Duration) -> &'static str {
        // Usually one host; sometimes all hosts of a data centre, or all hosts.
        let hosts = self.world.host_ids();
        let victims = match self.rng.random_range(0..10) {
            0 => hosts,
            1 | 2 => {
                let first = self.rng.random_range(0..3);
                hosts.into_iter().skip(first).step_by(3).collect()
            }
            _ => vec![self.random_host()],
        };
        let down = Duration::from_millis(self.rng.random_range(100..15_000));
        for host in victims {
            self.world.act_at(at, Act::Kill(host.clone()));
            self.world.act_at(at + down, Act::Restart(host));
        }
        "host_killed"
    }

    fn stop_and_restart(&mut self, at: Duration) -> &'static str {
        let host = self.random_host();
        self.world.act_at(at, Act::Stop(host.clone()));
        self.world.act_at(at + Duration::from_secs(30), Act::Restart(host));
        "host_stopped"
    }

    fn cut_link(&mut self, at: Duration) -> &'static str {
        let first = self.rng.random_range(0..3);
        let other = (first + 1) % 3;
        let act = Act::Cut(DATA_CENTRES[first].to_owned(), DATA_CENTRES[other].to_owned());
        self.schedule(at, act, "data_centres_cut")
    }

    fn isolate_data_centre(&mut self, at: Duration) -> &'static str {
        let index = self.rng.random_range(0..3);
        let isolated = DATA_CENTRES[index].to_owned();
        self.world.act_at(at, Act::CutPlatform(isolated.clone()));
        for other in DATA_CENTRES.into_iter().filter(|other| *other != isolated) {
            self.world.act_at(at, Act::Cut(isolated.clone(), other.to_owned()));
        }
        "data_centre_cut_off"
    }

    fn schedule_engine_fault(
        &mut self,
        at: Duration,
        fault: EngineFault,
        name: &'static str,
    ) -> &'static str {
        let servers = self.world.server_ids();
        let server = servers[self.rng.random_range(0..servers.len())].clone();
        self.world.act_at(at, Act::Engine { server: server.clone(), fault });
        let repaired = Act::Engine { server, fault: EngineFault::None };
        self.world.act_at(self.now + FAULTS_UNTIL, repaired);
        name
    }

    /// Schedules an operator command; half the time a second operator acts at the same moment.
    fn schedule_operators(&mut self) {
        let at = self.now + ROUND_LENGTH.mul_f64(self.rng.random());
        for operator in ["ada", "bo"].into_iter().take(self.rng.random_range(1..=2)) {
            let command = self.operator_command(operator);
            let on = self.random_host();
            self.world.act_at(at, Act::Operator { on, order: Box::new(command) });
        }
    }

    fn operator_command(&mut self, operator: &str) -> OperatorCommand {
        let operator = operator.to_owned();
        let why = "random run".to_owned();
        let model_version = ModelVersion::new("levain-small", "v2");
        match self.rng.random_range(0..6) {
            0 => OperatorCommand::VersionRollout { operator, model_version, why },
            1 => OperatorCommand::VersionWithdraw { operator, model_version, why },
            2 | 3 => OperatorCommand::PresetSwitch { operator, preset: "peak".to_owned(), why },
            _ => OperatorCommand::PresetSwitch { operator, preset: "ordinary".to_owned(), why },
        }
    }

    fn random_host(&mut self) -> String {
        let hosts = self.world.host_ids();
        hosts[self.rng.random_range(0..hosts.len())].clone()
    }

    fn finish(mut self) -> SoakReport {
        for host in self.world.host_ids() {
            if !self.world.running_hosts().any(|(running, _)| *running == host) {
                self.world.act_at(self.now, Act::Restart(host));
            }
        }
        self.now += FINAL_QUIET;
        self.world.run_until(self.now, u64::MAX);
        self.world.check_unanswered();
        self.world.check_bills();
        self.fill_report();
        self.report
    }

    fn fill_report(&mut self) {
        let observations = self.world.observations();
        self.report.steps = self.world.steps();
        self.report.virtual_seconds = self.world.elapsed().as_secs();
        self.report.renewals_run = observations.runs.len() as u64;
        self.report.bills = self.world.bills().values().sum();
        self.report.operators_done =
            observations.replies.iter().filter(|reply| reply.is_ok()).count() as u64;
        self.report.operators_refused =
            observations.replies.len() as u64 - self.report.operators_done;
        for outcome in observations.outcomes.values().flatten() {
            *self.report.endings.entry(ending_name(outcome)).or_default() += 1;
        }
        self.report.violations = observations.violations.iter().map(ToString::to_string).collect();
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {} steps {} virtual {} s rounds {}",
            self.seed, self.steps, self.virtual_seconds, self.rounds
        )?;
        for (fault, count) in &self.faults {
            writeln!(f, "  fault {fault:<24} {count:>8}")?;
        }
        for (ending, count) in &self.endings {
            writeln!(f, "  ended {ending:<24} {count:>8}")?;
        }
        writeln!(
            f,
            "operators' commands {} done, {} refused",
            self.operators_done, self.operators_refused
        )?;
        writeln!(f, "renewals run {} bills {}", self.renewals_run, self.bills)?;
        writeln!(f, "violations {}", self.violations.len())?;
        for violation in self.violations.iter().take(20) {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

fn ending_name(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Completed { .. } => "whole".to_owned(),
        RequestOutcome::Replayed => "replayed".to_owned(),
        RequestOutcome::Refused { kind, ran } => format!("{kind} {}", ran.name()),
        RequestOutcome::Lost => "lost with its host".to_owned(),
        RequestOutcome::NoHost => "no host ready".to_owned(),
        RequestOutcome::Disconnected => "caller left".to_owned(),
    }
}

fn seconds(seconds: u64) -> Span {
    Span(Duration::from_secs(seconds))
}

/// Chat in sessions from two workspaces, and renewals that are resent.
fn traffic() -> Vec<Traffic> {
    let chat = |session: &str| Call::Chat {
        class: "question".to_owned(),
        streamed: false,
        session: Some(session.to_owned()),
        token: true,
        model: None,
    };
    let source = |name: &str, workspace: &str, call: Call| Traffic {
        name: name.to_owned(),
        from: Span::default(),
        every: Span::default(),
        count: 0,
        workspace: workspace.to_owned(),
        call,
        to: None,
        callers: 40,
        deadline: seconds(20),
        priority: Priority::Normal,
        content: None,
        key: None,
        resend: 1,
        leaves_after: None,
    };
    let renewals = source("renewals", "bakers", Call::Renewal);
    vec![
        source("bakers", "bakers", chat("s")),
        source("clubs", "clubs", chat("t")),
        Traffic { key: Some("renewal-{n}".to_owned()), resend: 6, ..renewals },
    ]
}
