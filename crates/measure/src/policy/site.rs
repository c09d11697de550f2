//! Topology of a deployment: entry hosts, engines and the initial configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use foxtailhoist_model::BackendServer;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::Limits;
use foxtailhoist_model::Model;
use foxtailhoist_model::ModelId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Presence;
use foxtailhoist_model::Preset;
use foxtailhoist_model::Priority;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::RolloutStep;
use foxtailhoist_model::Serves;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StalePolicy;
use foxtailhoist_model::TaskClass;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;
use foxtailhoist_model::WorkspaceId;

use crate::policy::workload::ClassSpec;
use crate::policy::workload::Deployment;
use crate::policy::workload::EngineSpec;

/// Number of entry hosts in a deployment.
pub const ENTRY_HOSTS: usize = 6;
/// One-way delay within a data centre.
pub const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// Maximum callers in a roll-out's first step; within 1% of a run's callers.
pub const FIRST_STEP_CALLERS: u32 = 20;
/// Version that every model starts with.
pub const FIRST_VERSION: &str = "1";
/// Version that is rolled out.
pub const NEXT_VERSION: &str = "2";

/// The parts of a deployment that do not change during a run.
#[derive(Clone, Debug)]
pub struct Site {
    pub deployment: Deployment,
    /// Models sorted by output price, cheapest first.
    pub models: Vec<SiteModel>,
    pub classes: Vec<SiteClass>,
    pub workspaces: Vec<WorkspaceId>,
    pub engines: Vec<SiteEngine>,
    pub hosts: Vec<SiteHost>,
}

#[derive(Clone, Debug)]
pub struct SiteModel {
    pub id: ModelId,
    pub spec: EngineSpec,
}

#[derive(Clone, Debug)]
pub struct SiteClass {
    pub name: TaskClass,
    pub spec: ClassSpec,
    /// Probability of an acceptable answer, by model.
    pub acceptable: Vec<f64>,
}

#[derive(Clone, Debug)]
pub struct SiteEngine {
    pub id: String,
    pub model: usize,
    pub data_centre: usize,
}

#[derive(Clone, Debug)]
pub struct SiteHost {
    pub id: EntryHostId,
    pub data_centre: usize,
}

impl Site {
    #[must_use]
    pub fn new(deployment: &Deployment) -> Site {
        let mut models: Vec<SiteModel> = deployment
            .engines
            .iter()
            .map(|(id, spec)| SiteModel { id: id.clone(), spec: *spec })
            .collect();
        models.sort_by(|a, b| a.spec.price_out.total_cmp(&b.spec.price_out));
        let classes = deployment.classes.iter().map(|(name, spec)| SiteClass {
            name: name.clone(),
            acceptable: models.iter().map(|model| spec.acceptable[&model.id]).collect(),
            spec: spec.clone(),
        });
        let classes = classes.collect();
        let count = deployment.data_centres.len();
        let mut engines = Vec::new();
        for (index, model) in models.iter().enumerate() {
            for number in 0..model.spec.count {
                let data_centre = engines.len() % count;
                let id = format!("{}-{number}", model.id);
                engines.push(SiteEngine { id, model: index, data_centre });
            }
        }
        let hosts = (0..ENTRY_HOSTS).map(|number| {
            let data_centre = number % count;
            let id = format!("{}-{}", deployment.data_centres[data_centre], number / count);
            SiteHost { id, data_centre }
        });
        let workspaces = 0..deployment.workspaces.count;
        Site {
            hosts: hosts.collect(),
            workspaces: workspaces.map(|number| format!("workspace-{number}")).collect(),
            deployment: deployment.clone(),
            models,
            classes,
            engines,
        }
    }

    /// One-way delay between an entry host and an engine.
    #[must_use]
    pub fn delay(&self, host: usize, engine: usize) -> Duration {
        if self.hosts[host].data_centre == self.engines[engine].data_centre {
            return LOCAL_DELAY;
        }
        Duration::from_secs_f64(self.deployment.between_ms / 1_000.0)
    }

    /// One-way delay to clients.
    #[must_use]
    pub fn client_delay(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.clients_ms / 1_000.0)
    }

    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.deadline_s)
    }

    /// Index of the most expensive model, which `Policy::AlwaysBest` uses.
    #[must_use]
    pub fn best_model(&self) -> usize {
        self.models.len() - 1
    }

    #[must_use]
    pub fn model_index(&self, model: &str) -> Option<usize> {
        self.models.iter().position(|candidate| candidate.id == model)
    }

    #[must_use]
    pub fn engine_index(&self, id: &str) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == id)
    }

    #[must_use]
    pub fn version(&self, model: usize, version: &str) -> ModelVersion {
        ModelVersion::new(&self.models[model].id, version)
    }

    /// Registrations of the backend servers; engines of the `rolled_out` model also serve its next version.
    #[must_use]
    pub fn servers(&self, rolled_out: Option<usize>) -> Vec<BackendServer> {
        let servers = self.engines.iter().enumerate().map(|(number, engine)| {
            let mut loaded = BTreeSet::from([self.version(engine.model, FIRST_VERSION)]);
            if rolled_out == Some(engine.model) {
                loaded.insert(self.version(engine.model, NEXT_VERSION));
            }
            let port = 20_000 + u16::try_from(number).unwrap_or_default();
            BackendServer {
                id: engine.id.clone(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                data_centre: self.deployment.data_centres[engine.data_centre].clone(),
                presence: Presence::Live,
                serves: Serves::Engine { loaded, slots: self.models[engine.model].spec.slots },
                checks_fencing: true,
            }
        });
        servers.collect()
    }

    /// Configuration at the start of a run, with the next version of the `rolled_out` model as a canary.
    #[must_use]
    pub fn configuration(&self, rolled_out: Option<usize>) -> Configuration {
        let models: BTreeSet<ModelId> = self.models.iter().map(|model| model.id.clone()).collect();
        let allowed = self.workspaces.iter().map(|name| (name.clone(), models.clone()));
        let deadline_ms = u64::try_from(self.deadline().as_millis()).unwrap_or(u64::MAX);
        let preset = Preset {
            allowed: allowed.collect(),
            cheaper_for: self.classes.iter().map(|class| class.name.clone()).collect(),
            quality: QualityTarget::BelowBest(self.deployment.quality_target_slack),
            rollout: RolloutPolicy { steps: rollout_steps() },
            limits: Limits { default_deadline_ms: deadline_ms, ..Limits::default() },
        };
        let mut versions = BTreeMap::new();
        for model in 0..self.models.len() {
            let record = VersionRecord { stage: Stage::Settled, vetoed: false };
            versions.insert(self.version(model, FIRST_VERSION), record);
        }
        if let Some(model) = rolled_out {
            let share = rollout_steps()[0].share;
            let stage = Stage::Canary { step: 0, share, quotas: BTreeMap::new() };
            let record = VersionRecord { stage, vetoed: false };
            versions.insert(self.version(model, NEXT_VERSION), record);
        }
        Configuration {
            revision: 1,
            preset: "ordinary".to_owned(),
            presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
            workspaces: self.workspaces.iter().map(|name| (name.clone(), workspace())).collect(),
            models: self
                .models
                .iter()
                .map(|model| {
                    let SiteModel { id, spec } = model;
                    (id.clone(), Model { price_in: spec.price_in, price_out: spec.price_out })
                })
                .collect(),
            versions,
            services: BTreeMap::new(),
        }
    }
}

/// Roll-out steps in all runs.
fn rollout_steps() -> Vec<RolloutStep> {
    let step =
        |share, callers| RolloutStep { share, callers, hold_seconds: 180, rated_answers: 40 };
    vec![step(0.1, FIRST_STEP_CALLERS), step(0.3, 100)]
}

fn workspace() -> Workspace {
    Workspace {
        api_key_digests: BTreeSet::new(),
        weight: 1.0,
        priority: Priority::Normal,
        when_stale: StalePolicy::Settled,
    }
}
