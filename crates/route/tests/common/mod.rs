//! Test harness: a router with a configuration and servers, driven in virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::AttemptId;
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
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::Serves;
use foxtailhoist_model::SessionPin;
use foxtailhoist_model::Stage;
use foxtailhoist_model::Target;
use foxtailhoist_model::Usage;
use foxtailhoist_model::VersionRecord;
use foxtailhoist_model::Workspace;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::Router;
use foxtailhoist_route::RouterConfig;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::event::Dispatch;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;

pub const WORKSPACE: &str = "crust";
pub const SMALL: &str = "small";
pub const LARGE: &str = "large";

/// A router, its clock and its next request id.
pub struct World {
    pub router: Router,
    pub now: Instant,
    next: RequestId,
}

impl World {
    /// Two models with one settled version each, two local engines that serve both, and one service.
    pub fn new() -> World {
        World::with(Mechanisms::default(), configuration(), engines(2))
    }

    pub fn with(
        mechanisms: Mechanisms,
        configuration: Configuration,
        servers: Vec<BackendServer>,
    ) -> World {
        let cfg =
            RouterConfig::new("host-1", "a").enforcement(Enforcement::Panic).mechanisms(mechanisms);
        let mut world = World { router: Router::new(cfg, 7), now: Instant::now(), next: 0 };
        let _ = world.send(Event::Configured(Arc::new(configuration)));
        let _ = world.send(Event::Servers(servers));
        world
    }

    pub fn send(&mut self, event: Event) -> Vec<Effect> {
        self.router.handle(event, self.now)
    }

    /// Advances the clock and sends every tick that becomes due.
    pub fn advance(&mut self, time: Duration) -> Vec<Effect> {
        let end = self.now + time;
        let mut effects = Vec::new();
        while let Some(wake) = self.router.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            effects.extend(self.send(Event::Tick));
        }
        self.now = end;
        effects
    }

    pub fn arrive(&mut self, request: Request) -> Vec<Effect> {
        self.send(Event::Arrived(Box::new(request)))
    }

    /// A non-streamed chat request of class `tagging`.
    pub fn chat(&mut self) -> Request {
        self.next += 1;
        Request {
            id: self.next,
            workspace: WORKSPACE.to_owned(),
            caller: 1,
            target: Target::Chat {
                class: "tagging".to_owned(),
                model: None,
                session: None,
                prompt_tokens: 100,
                max_output_tokens: 20,
                prefix: 0,
                prefix_tokens: 0,
                streamed: false,
            },
            priority: Priority::Normal,
            idempotency: Idempotency::Idempotent,
            deadline: self.now + Duration::from_secs(20),
            fingerprint: self.next as u64,
        }
    }

    pub fn streamed(&mut self) -> Request {
        let mut request = self.chat();
        if let Target::Chat { streamed, .. } = &mut request.target {
            *streamed = true;
        }
        request
    }

    /// A request to a plain service that may run at most once.
    pub fn renewal(&mut self) -> Request {
        let request = self.chat();
        let key = format!("key-{}", request.id);
        Request {
            target: Target::Service { service: "renewals".to_owned() },
            idempotency: Idempotency::AtMostOnce { key, from_caller: true },
            ..request
        }
    }

    pub fn fail(&mut self, attempt: AttemptId, failure: AttemptFailure) -> Vec<Effect> {
        self.send(Event::Failed { attempt, failure })
    }

    /// Finishes an attempt and confirms that its bill is safely recorded.
    pub fn finish(&mut self, attempt: AttemptId) -> Vec<Effect> {
        self.finish_with(attempt, Some(5.0))
    }

    pub fn finish_with(&mut self, attempt: AttemptId, confidence: Option<f64>) -> Vec<Effect> {
        let usage = Usage { prompt_tokens: 100, output_tokens: 20 };
        let summary = AnswerSummary { status: 200, usage, confidence, leaving: false };
        let mut effects = self.send(Event::Finished { attempt, summary });
        if let Some(request) = billed(&effects) {
            effects.extend(self.send(Event::Billed { request }));
        }
        effects
    }
}

pub fn pinned(request: Request, pin: Option<ModelVersion>) -> Request {
    let mut request = request;
    if let Target::Chat { session, .. } = &mut request.target {
        *session = Some(SessionPin { session: "s-1".to_owned(), version: pin });
    }
    request
}

pub fn dispatches(effects: &[Effect]) -> Vec<&Dispatch> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

/// Returns the only dispatch among the effects.
pub fn dispatch(effects: &[Effect]) -> Dispatch {
    let dispatches = dispatches(effects);
    assert_eq!(dispatches.len(), 1, "expected one dispatch: {effects:?}");
    dispatches[0].clone()
}

pub fn refusal(effects: &[Effect]) -> Option<&Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

pub fn completion(effects: &[Effect]) -> Option<&Completion> {
    effects.iter().find_map(|effect| match effect {
        Effect::Complete(completion) => Some(completion),
        _ => None,
    })
}

pub fn cancelled(effects: &[Effect]) -> Vec<AttemptId> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Cancel { attempt } => Some(*attempt),
            _ => None,
        })
        .collect()
}

fn billed(effects: &[Effect]) -> Option<RequestId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Bill { request, .. } => Some(*request),
        _ => None,
    })
}

pub fn small() -> ModelVersion {
    ModelVersion::new(SMALL, "1")
}

pub fn large() -> ModelVersion {
    ModelVersion::new(LARGE, "1")
}

pub fn configuration() -> Configuration {
    let settled = || VersionRecord { stage: Stage::Settled, vetoed: false };
    let workspace = || Workspace {
        api_key_digests: BTreeSet::new(),
        weight: 1.0,
        priority: Priority::Normal,
        when_stale: Default::default(),
    };
    let models = BTreeSet::from([SMALL.to_owned(), LARGE.to_owned()]);
    let workspaces = [WORKSPACE, "rye"];
    let preset = Preset {
        allowed: workspaces.iter().map(|name| ((*name).to_owned(), models.clone())).collect(),
        cheaper_for: BTreeSet::from(["tagging".to_owned()]),
        quality: QualityTarget::BelowBest(0.01),
        rollout: RolloutPolicy { steps: Vec::new() },
        limits: Limits::default(),
    };
    Configuration {
        revision: 1,
        preset: "ordinary".to_owned(),
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        workspaces: workspaces.iter().map(|name| ((*name).to_owned(), workspace())).collect(),
        models: BTreeMap::from([
            (SMALL.to_owned(), Model { price_in: 0.1, price_out: 0.4 }),
            (LARGE.to_owned(), Model { price_in: 1.5, price_out: 6.0 }),
        ]),
        versions: BTreeMap::from([(small(), settled()), (large(), settled())]),
        services: BTreeMap::new(),
    }
}

/// Engines that serve both models in data centre `a`, and one server of the service `renewals`.
pub fn engines(count: usize) -> Vec<BackendServer> {
    let mut servers: Vec<BackendServer> =
        (0..count).map(|index| engine(&format!("engine-{index}"), "a", 32)).collect();
    servers.push(BackendServer {
        serves: Serves::Service("renewals".to_owned()),
        ..engine("renewals-0", "a", 0)
    });
    servers
}

pub fn engine(id: &str, data_centre: &str, slots: u32) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        data_centre: data_centre.to_owned(),
        presence: Presence::Live,
        serves: Serves::Engine { loaded: BTreeSet::from([small(), large()]), slots },
        checks_fencing: true,
    }
}
