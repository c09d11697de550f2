//! Routing policy of a simulated entry host: the router or a baseline.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Enforcement;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Fingerprint;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_model::RequestId;
use foxtailhoist_route::Router;
use foxtailhoist_route::RouterConfig;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use foxtailhoist_route::event::Evidence;
use foxtailhoist_route::shared::SharedQuality;

use crate::policy::baseline::Baseline;
use crate::policy::kind::Policy;
use crate::policy::site::NEXT_VERSION;
use crate::policy::site::Site;

/// Routing policy of one entry host.
#[derive(Debug)]
pub enum HostPolicy {
    Baseline(Box<Baseline>),
    Router { router: Box<Router>, site: Arc<Site> },
}

/// Action that a policy requests from the simulation.
#[derive(Clone, Debug)]
pub enum Command {
    Dispatch(AttemptParams),
    Cancel(AttemptId),
    Deliver { request: RequestId, attempt: AttemptId },
    Claim(RequestId),
    Bill(RequestId),
    Complete { request: RequestId, attempt: AttemptId, model_version: Option<ModelVersion> },
    Refuse { request: RequestId, kind: ErrorKind },
    Rate(RequestId),
    Evidence(Evidence),
    Suspect(Fingerprint),
    Quarantine(Fingerprint),
    Leaving(BackendServerId),
    ShareQuality(Arc<SharedQuality>),
}

/// Parameters of an attempt to start.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParams {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub engine: usize,
    pub model: usize,
    /// The attempt uses the version in roll-out instead of the first version.
    pub next_version: bool,
    pub first_byte_timeout: Duration,
    pub priority: Priority,
}

impl HostPolicy {
    /// Creates the policy of entry host `host`; `replayed` has each request's model, for the policy that replays them.
    #[must_use]
    pub fn new(
        policy: Policy,
        site: &Arc<Site>,
        host: usize,
        seed: u64,
        replayed: &Arc<Vec<usize>>,
    ) -> HostPolicy {
        let Some(mechanisms) = policy.mechanisms() else {
            let baseline = Baseline::new(policy, site.clone(), host, seed, replayed.clone());
            return HostPolicy::Baseline(Box::new(baseline));
        };
        let data_centre = &site.deployment.data_centres[site.hosts[host].data_centre];
        let cfg = RouterConfig::new(&site.hosts[host].id, data_centre)
            .enforcement(Enforcement::Panic)
            .mechanisms(mechanisms);
        HostPolicy::Router { router: Box::new(Router::new(cfg, seed)), site: site.clone() }
    }

    /// Handles an event and returns the requested actions.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Command> {
        match self {
            HostPolicy::Baseline(baseline) => baseline.handle(event),
            HostPolicy::Router { router, site } => {
                let effects = router.handle(event, now);
                effects.into_iter().filter_map(|effect| command(effect, site)).collect()
            }
        }
    }

    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            HostPolicy::Baseline(_) => None,
            HostPolicy::Router { router, .. } => router.next_wake(),
        }
    }

    /// Whether the policy uses load reports and cache events.
    #[must_use]
    pub fn reads_feeds(&self) -> bool {
        matches!(self, HostPolicy::Router { .. })
    }
}

fn command(effect: Effect, site: &Site) -> Option<Command> {
    let command = match effect {
        Effect::Claim(claim) => Command::Claim(claim.request),
        Effect::Dispatch(dispatch) => {
            let version = dispatch.model_version.as_ref()?;
            Command::Dispatch(AttemptParams {
                request: dispatch.request,
                attempt: dispatch.attempt,
                engine: site.engine_index(&dispatch.server)?,
                model: site.model_index(&version.model)?,
                next_version: version.version == NEXT_VERSION,
                first_byte_timeout: dispatch.first_byte_timeout,
                priority: dispatch.priority,
            })
        }
        Effect::Cancel { attempt } => Command::Cancel(attempt),
        Effect::Deliver { request, attempt } => Command::Deliver { request, attempt },
        Effect::Bill { request, .. } => Command::Bill(request),
        Effect::Complete(completion) => Command::Complete {
            request: completion.request,
            attempt: completion.attempt,
            model_version: completion.model_version,
        },
        Effect::Refuse { request, refusal } => Command::Refuse { request, kind: refusal.kind },
        Effect::Rate { request } => Command::Rate(request),
        Effect::Evidence(evidence) => Command::Evidence(evidence),
        Effect::Suspect(fingerprint) => Command::Suspect(fingerprint),
        Effect::Quarantine(fingerprint) => Command::Quarantine(fingerprint),
        Effect::Leaving(server) => Command::Leaving(server),
        Effect::ShareQuality(shared) => Command::ShareQuality(shared),
        Effect::RetireConnections(_) | Effect::Order(_) => return None,
    };
    Some(command)
}
