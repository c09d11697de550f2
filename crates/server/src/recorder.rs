//! Records data for the burn report: completions, refusals, ratings, and the callers exposed to versions.
//!
//! The metrics have their own lock, so that encoding them for a peer does not block requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Usage;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_report::CompletedRequest;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::NanoMoney;
use foxtailhoist_report::Observation;
use foxtailhoist_report::RefusedRequest;
use foxtailhoist_report::cost_of;
use foxtailhoist_route::event::Completion;

/// Maximum number of distinct callers tracked per version; further ones are not counted.
const MAX_CALLERS_PER_VERSION: usize = 4096;
/// Maximum number of versions whose callers are tracked; callers of further versions are not counted.
const MAX_TRACKED_VERSIONS: usize = 64;

/// Records observations of one entry host.
pub struct Recorder {
    data_centre: DataCentreId,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    metrics: Metrics,
    callers: BTreeMap<ModelVersion, BTreeSet<CallerId>>,
}

/// Properties of a request that are known on arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub caller: CallerId,
    pub deadline: Instant,
    pub streamed: bool,
}

impl Recorder {
    pub fn new(data_centre: DataCentreId) -> Recorder {
        Recorder { data_centre, state: Mutex::default() }
    }

    /// Labels of a request for which no backend server has been selected.
    pub fn labels(&self, workspace: &str, configuration: Option<&Configuration>) -> Labels {
        Labels {
            workspace: workspace.to_owned(),
            model_version: None,
            server: None,
            data_centre: self.data_centre.clone(),
            preset: configuration.map(|cfg| cfg.preset.clone()).unwrap_or_default(),
            revision: configuration.map_or(0, |cfg| cfg.revision),
        }
    }

    /// Records the caller of a request dispatched to a version. Callers of a version in roll-out count as exposed
    /// immediately; callers of a settled version only if it is later vetoed.
    pub fn dispatched(
        &self,
        model_version: &ModelVersion,
        caller: CallerId,
        configuration: Option<&Configuration>,
    ) {
        let record = configuration.and_then(|cfg| cfg.versions.get(model_version));
        let in_rollout = record.is_some_and(|record| matches!(record.stage, Stage::Canary { .. }));
        let mut state = self.lock();
        let callers = state.add_caller(model_version, caller);
        if in_rollout {
            let model_version = model_version.clone();
            state.record(Observation::Exposed { model_version, callers });
        }
    }

    /// Records a version's veto and the number of callers exposed to it.
    pub fn vetoed(&self, model_version: &ModelVersion) {
        let mut state = self.lock();
        let callers = state.callers.get(model_version).map_or(0, BTreeSet::len) as u64;
        let exposed = Observation::Exposed { model_version: model_version.clone(), callers };
        state.record(exposed);
        state.record(Observation::Vetoed { model_version: model_version.clone() });
    }

    /// Counts a complete answer.
    pub fn completed(
        &self,
        labels: &Labels,
        completion: &Completion,
        arrival: &Arrival,
        configuration: Option<&Configuration>,
    ) {
        let price = |model: &ModelId| usage_cost(configuration, model, completion.usage);
        let cost = completion.model_version.as_ref().map_or(0, |version| price(&version.model));
        let best = configuration
            .filter(|_| completion.model_version.is_some())
            .and_then(|cfg| most_expensive_allowed(cfg, &completion.workspace));
        let request = CompletedRequest {
            labels: labels.clone(),
            first_token: arrival.streamed.then_some(completion.first_byte),
            total: completion.total,
            in_time: Instant::now() <= arrival.deadline,
            cost,
            best_cost: best.map_or(cost, price),
        };
        self.lock().record(Observation::Completed(request));
    }

    /// Counts a refusal.
    pub fn refused(&self, labels: Labels, refusal: &Refusal) {
        let request = RefusedRequest { labels, kind: refusal.kind, ran: refusal.ran };
        self.lock().record(Observation::Refused(request));
    }

    /// Counts a rating.
    pub fn rated(&self, labels: Labels, acceptable: bool) {
        self.lock().record(Observation::Rated { labels, acceptable });
    }

    /// Returns this host's metrics for a report that this host builds.
    pub fn metrics(&self) -> Metrics {
        self.lock().metrics.clone()
    }

    /// Returns this host's encoded metrics for a report that a peer builds.
    ///
    /// # Errors
    ///
    /// Fails when they cannot be encoded.
    pub fn encoded(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec_named(&self.lock().metrics)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Counters are integers, so whatever was recorded before a panic is still valid.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record(&mut self, observation: Observation) {
        self.metrics.record(SystemTime::now(), &observation);
    }

    /// Adds a caller to a version's tracked callers and returns their number.
    fn add_caller(&mut self, model_version: &ModelVersion, caller: CallerId) -> u64 {
        if !self.callers.contains_key(model_version) {
            if self.callers.len() >= MAX_TRACKED_VERSIONS {
                return 0;
            }
            self.callers.insert(model_version.clone(), BTreeSet::new());
        }
        let Some(callers) = self.callers.get_mut(model_version) else {
            return 0;
        };
        if callers.len() < MAX_CALLERS_PER_VERSION {
            callers.insert(caller);
        }
        callers.len() as u64
    }
}

/// Finds the model with the highest output price that a workspace may use.
fn most_expensive_allowed<'a>(
    configuration: &'a Configuration,
    workspace: &WorkspaceId,
) -> Option<&'a ModelId> {
    let allowed = configuration.preset_in_force()?.allowed.get(workspace)?;
    let price_out =
        |model: &ModelId| configuration.models.get(model).map_or(0.0, |entry| entry.price_out);
    allowed.iter().max_by(|a, b| price_out(a).total_cmp(&price_out(b)))
}

fn usage_cost(configuration: Option<&Configuration>, model: &ModelId, usage: Usage) -> NanoMoney {
    let model = configuration.and_then(|cfg| cfg.models.get(model));
    model.map_or(0, |model| cost_of(usage, model.price_in, model.price_out))
}
