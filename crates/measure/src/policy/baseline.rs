//! Baseline policies that operators use without this project.

use std::collections::BTreeMap;
use std::sync::Arc;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Target;
use foxtailhoist_route::event::Event;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::policy::host_policy::AttemptParams;
use crate::policy::host_policy::Command;
use crate::policy::kind::Policy;
use crate::policy::site::FIRST_VERSION;
use crate::policy::site::Site;
use crate::policy::world::request_index;

/// Maximum retries per request of [`Policy::RoundRobinRetries`].
const MAX_RETRIES: u32 = 3;
/// Gap to the best model's acceptable share up to which [`Policy::FixedByClass`] uses a cheaper model.
const FIXED_TOLERANCE: f64 = 0.021;

/// A baseline policy on one entry host.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    site: Arc<Site>,
    host: usize,
    rng: ChaCha8Rng,
    in_flight: Vec<u32>,
    next_server: usize,
    attempts: BTreeMap<AttemptId, OpenAttempt>,
    requests: BTreeMap<RequestId, OpenRequest>,
    replayed: Arc<Vec<usize>>,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    request: RequestId,
    engine: usize,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    attempt: AttemptId,
    model: usize,
    retries: u32,
}

impl Baseline {
    #[must_use]
    pub fn new(
        policy: Policy,
        site: Arc<Site>,
        host: usize,
        seed: u64,
        replayed: Arc<Vec<usize>>,
    ) -> Baseline {
        Baseline {
            policy,
            host,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: vec![0; site.engines.len()],
            next_server: host,
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            replayed,
            site,
        }
    }

    /// Handles an event; events that concern only the router are ignored.
    pub fn handle(&mut self, event: Event) -> Vec<Command> {
        match event {
            Event::Arrived(request) => self.arrived(&request),
            Event::Finished { attempt, .. } => self.finished(attempt),
            Event::Failed { attempt, .. } => self.failed(attempt),
            Event::Billed { request } => self.billed(request),
            Event::CallerGone { request } => self.caller_gone(request),
            _ => Vec::new(),
        }
    }

    fn arrived(&mut self, request: &Request) -> Vec<Command> {
        let model = self.choose_model(request);
        self.dispatch(request.id, model, 0)
    }

    fn dispatch(&mut self, request: RequestId, model: usize, retries: u32) -> Vec<Command> {
        let Some(engine) = self.choose_server(model) else {
            return vec![Command::Refuse { request, kind: ErrorKind::NoServer }];
        };
        let attempt: AttemptId = self.rng.random();
        self.in_flight[engine] += 1;
        self.attempts.insert(attempt, OpenAttempt { request, engine });
        self.requests.insert(request, OpenRequest { attempt, model, retries });
        let params = AttemptParams {
            request,
            attempt,
            engine,
            model,
            next_version: false,
            first_byte_timeout: self.site.deadline(),
            priority: Priority::Normal,
        };
        vec![Command::Dispatch(params), Command::Deliver { request, attempt }]
    }

    fn finished(&mut self, attempt: AttemptId) -> Vec<Command> {
        let Some(open) = self.end(attempt) else {
            return Vec::new();
        };
        vec![Command::Bill(open.request)]
    }

    fn billed(&mut self, request: RequestId) -> Vec<Command> {
        let Some(open) = self.requests.remove(&request) else {
            return Vec::new();
        };
        let model = &self.site.models[open.model];
        let model_version = Some(ModelVersion::new(&model.id, FIRST_VERSION));
        vec![Command::Complete { request, attempt: open.attempt, model_version }]
    }

    fn failed(&mut self, attempt: AttemptId) -> Vec<Command> {
        let Some(ended) = self.end(attempt) else {
            return Vec::new();
        };
        let request = ended.request;
        let Some(open) = self.requests.remove(&request) else {
            return Vec::new();
        };
        if self.policy == Policy::RoundRobinRetries && open.retries < MAX_RETRIES {
            return self.dispatch(request, open.model, open.retries + 1);
        }
        vec![Command::Refuse { request, kind: ErrorKind::BackendFailed }]
    }

    fn caller_gone(&mut self, request: RequestId) -> Vec<Command> {
        let Some(open) = self.requests.remove(&request) else {
            return Vec::new();
        };
        self.end(open.attempt);
        vec![
            Command::Cancel(open.attempt),
            Command::Refuse { request, kind: ErrorKind::CallerGone },
        ]
    }

    fn end(&mut self, attempt: AttemptId) -> Option<OpenAttempt> {
        let ended = self.attempts.remove(&attempt)?;
        self.in_flight[ended.engine] -= 1;
        Some(ended)
    }

    fn choose_model(&self, request: &Request) -> usize {
        match self.policy {
            Policy::Cheapest => 0,
            Policy::FixedByClass => self.fixed_model(request),
            Policy::ReplayedLeastInFlight => self.replayed[request_index(request.id)],
            _ => self.site.best_model(),
        }
    }

    fn fixed_model(&self, request: &Request) -> usize {
        let best = self.site.best_model();
        let Target::Chat { class, .. } = &request.target else {
            return best;
        };
        let Some(class) = self.site.classes.iter().find(|candidate| candidate.name == *class)
        else {
            return best;
        };
        let min_share = class.acceptable[best] - FIXED_TOLERANCE;
        class.acceptable.iter().position(|share| *share >= min_share).unwrap_or(best)
    }

    fn choose_server(&mut self, model: usize) -> Option<usize> {
        let candidates = self.site.engines.iter().enumerate();
        let candidates = candidates.filter(|(_, engine)| engine.model == model);
        let candidates: Vec<usize> = candidates.map(|(number, _)| number).collect();
        match self.policy {
            Policy::Random => {
                let index = self.rng.random_range(0..candidates.len());
                candidates.get(index).copied()
            }
            Policy::RoundRobin | Policy::RoundRobinRetries => {
                self.next_server += 1;
                candidates.get(self.next_server % candidates.len()).copied()
            }
            Policy::AlwaysBest | Policy::Cheapest | Policy::FixedByClass => {
                candidates.into_iter().min_by_key(|engine| self.load_and_distance(*engine))
            }
            _ => {
                let offset: usize = self.rng.random_range(0..candidates.len());
                let count = candidates.len();
                let rotated = (0..count).map(|index| candidates[(index + offset) % count]);
                rotated.min_by_key(|engine| self.in_flight[*engine])
            }
        }
    }

    fn load_and_distance(&self, engine: usize) -> (u32, bool) {
        let local = self.site.hosts[self.host].data_centre;
        (self.in_flight[engine], self.site.engines[engine].data_centre != local)
    }
}
