//! CPU time of model and server selection as the numbers of engines and workspaces grow.
//!
//! A choice is the selection of model and server for one request. Requests arrive at a router with a given number of
//! workspaces and of engines in 24 data centres, and finish at once. Only the handling of the arrival event is timed:
//! admission, model planning, server selection and dispatch. The report has the median, 99th percentile and mean over
//! the requests of each size.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::Limits;
use foxtailhoist_model::Model;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Preset;
use foxtailhoist_model::Priority;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::Rating;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::Serves;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StalePolicy;
use foxtailhoist_model::Target;
use foxtailhoist_model::Usage;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;
use foxtailhoist_route::Router;
use foxtailhoist_route::RouterConfig;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use serde::Serialize;

const MODELS: usize = 8;
const DATA_CENTRES: usize = 24;
const CLASSES: [&str; 4] = ["schedule", "question", "tagging", "care"];
const ENGINE_COUNTS: [usize; 4] = [12, 120, 1_200, 12_000];
const WORKSPACE_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];
/// Requests before timing starts.
const WARM_UP_REQUESTS: usize = 2_000;
/// Requests that are timed.
const MEASURED_REQUESTS: usize = 4_000;
/// Virtual time between requests.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);

/// Choice times at all sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChoiceCost {
    pub by_engines: Vec<ChoiceTime>,
    pub by_workspaces: Vec<ChoiceTime>,
}

/// Choice time at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ChoiceTime {
    pub engines: usize,
    pub workspaces: usize,
    pub median_us: f64,
    pub p99_us: f64,
    pub mean_us: f64,
}

/// Measures choice times at every size.
#[must_use]
pub fn measure(seed: u64) -> ChoiceCost {
    let by_engines = ENGINE_COUNTS.map(|engines| measure_size(engines, 100, seed));
    let by_workspaces = WORKSPACE_COUNTS.map(|workspaces| measure_size(1_200, workspaces, seed));
    ChoiceCost { by_engines: by_engines.to_vec(), by_workspaces: by_workspaces.to_vec() }
}

impl ChoiceCost {
    /// Exponent of the power law by which the median grows with the number of engines; 1 is linear growth.
    #[must_use]
    pub fn engine_exponent(&self) -> f64 {
        exponent(&self.by_engines, |time| time.engines)
    }

    /// Exponent of the power law by which the median grows with the number of workspaces; 1 is linear growth.
    #[must_use]
    pub fn workspace_exponent(&self) -> f64 {
        exponent(&self.by_workspaces, |time| time.workspaces)
    }
}

impl fmt::Display for ChoiceCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "engines  workspaces  median us  mean us  p99 us")?;
        for time in self.by_engines.iter().chain(&self.by_workspaces) {
            writeln!(
                f,
                "{:>7}  {:>10}  {:>9.1}  {:>7.1}  {:>6.1}",
                time.engines, time.workspaces, time.median_us, time.mean_us, time.p99_us
            )?;
        }
        writeln!(f, "exponent by engines {:.2}", self.engine_exponent())?;
        write!(f, "exponent by workspaces {:.2}", self.workspace_exponent())
    }
}

fn exponent(times: &[ChoiceTime], size: impl Fn(&ChoiceTime) -> usize) -> f64 {
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return 0.0;
    };
    let growth = size(last) as f64 / size(first) as f64;
    (last.median_us / first.median_us).ln() / growth.ln()
}

fn measure_size(engines: usize, workspaces: usize, seed: u64) -> ChoiceTime {
    let cfg = RouterConfig::new("host-0", &data_centre(0)).enforcement(Enforcement::Panic);
    let mut router = Router::new(cfg, seed);
    let mut now = Instant::now();
    let _ = router.handle(Event::Configured(Arc::new(configuration(workspaces))), now);
    let _ = router.handle(Event::Servers((0..engines).map(engine).collect()), now);
    let mut times = Vec::with_capacity(MEASURED_REQUESTS);
    for number in 0..WARM_UP_REQUESTS + MEASURED_REQUESTS {
        now += ARRIVAL_INTERVAL;
        let _ = router.handle(Event::Tick, now);
        let arrived = Event::Arrived(Box::new(request(number, workspaces, now)));
        let started = Instant::now();
        let effects = router.handle(arrived, now);
        let elapsed = started.elapsed();
        if number >= WARM_UP_REQUESTS {
            times.push(elapsed.as_secs_f64() * 1e6);
        }
        finish(&mut router, effects, number, now);
    }
    times.sort_by(f64::total_cmp);
    ChoiceTime {
        engines,
        workspaces,
        median_us: times[times.len() / 2],
        p99_us: times[times.len() * 99 / 100],
        mean_us: times.iter().sum::<f64>() / times.len() as f64,
    }
}

/// Completes every attempt of a request with a confidence, a bill and a rating.
fn finish(router: &mut Router, effects: Vec<Effect>, number: usize, now: Instant) {
    let mut pending = effects;
    while let Some(effect) = pending.pop() {
        let event = match effect {
            Effect::Dispatch(dispatch) => {
                let usage = Usage { prompt_tokens: 1_000, output_tokens: 100 };
                let confidence = Some(if number.is_multiple_of(7) { -1.0 } else { 1.0 });
                let summary = AnswerSummary { status: 200, usage, confidence, leaving: false };
                Event::Finished { attempt: dispatch.attempt, summary }
            }
            Effect::Bill { request, .. } => Event::Billed { request },
            Effect::Rate { request } => {
                Event::Rated(Rating { request, acceptable: !number.is_multiple_of(9) })
            }
            _ => continue,
        };
        pending.extend(router.handle(event, now));
    }
}

fn request(number: usize, workspaces: usize, now: Instant) -> Request {
    Request {
        id: number as RequestId + 1,
        workspace: workspace(number * 7_919 % workspaces),
        caller: number as u64 % 5_000,
        target: Target::Chat {
            class: CLASSES[number % CLASSES.len()].to_owned(),
            model: None,
            session: None,
            prompt_tokens: 1_500,
            max_output_tokens: 200,
            prefix: number as u64 % 1_000,
            prefix_tokens: 1_000,
            streamed: number.is_multiple_of(2),
        },
        priority: Priority::Normal,
        idempotency: Idempotency::Idempotent,
        deadline: now + Duration::from_secs(20),
        fingerprint: number as u64,
    }
}

fn workspace(number: usize) -> String {
    format!("workspace-{number}")
}

fn data_centre(number: usize) -> String {
    format!("centre-{number}")
}

fn version(number: usize) -> ModelVersion {
    ModelVersion::new(&format!("model-{number}"), "1")
}

fn engine(number: usize) -> BackendServer {
    BackendServer {
        id: format!("engine-{number}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        data_centre: data_centre(number / MODELS % DATA_CENTRES),
        presence: Presence::Live,
        serves: Serves::Engine { loaded: BTreeSet::from([version(number % MODELS)]), slots: 32 },
        checks_fencing: true,
    }
}

fn configuration(workspaces: usize) -> Configuration {
    let models: BTreeSet<String> = (0..MODELS).map(|number| version(number).model).collect();
    let price = |number: usize| 0.1 * 1.5_f64.powi(i32::try_from(number).unwrap_or(0));
    let model = |number: usize| Model { price_in: price(number), price_out: 4.0 * price(number) };
    let record = VersionRecord { stage: Stage::Settled, vetoed: false };
    let entry = Workspace {
        api_key_digests: BTreeSet::new(),
        weight: 1.0,
        priority: Priority::Normal,
        when_stale: StalePolicy::Settled,
    };
    let preset = Preset {
        allowed: (0..workspaces).map(|number| (workspace(number), models.clone())).collect(),
        cheaper_for: CLASSES.iter().map(|class| (*class).to_owned()).collect(),
        quality: QualityTarget::BelowBest(0.01),
        rollout: RolloutPolicy { steps: Vec::new() },
        limits: Limits::default(),
    };
    Configuration {
        revision: 1,
        preset: "ordinary".to_owned(),
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        workspaces: (0..workspaces).map(|number| (workspace(number), entry.clone())).collect(),
        models: (0..MODELS).map(|number| (version(number).model, model(number))).collect(),
        versions: (0..MODELS).map(|number| (version(number), record.clone())).collect(),
        services: BTreeMap::new(),
    }
}
