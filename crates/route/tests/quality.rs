//! Cheaper models are used as far as the quality target allows, and no further.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::World;
use common::completion;
use common::configuration;
use common::dispatches;
use common::engines;
use common::large;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::Rating;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::Target;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::Dispatch;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use foxtailhoist_route::shared::SharedQuality;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const REQUESTS: u64 = 8000;
const WARM_UP_REQUESTS: u64 = 4000;

/// One class and the chance that each model answers it acceptably.
struct Class {
    streamed: bool,
    small: f64,
    large: f64,
}

/// Means per request after the warm-up.
#[derive(Debug)]
struct Outcome {
    /// Answers of the small model, delivered or not.
    small_runs: f64,
    large_runs: f64,
    acceptable: f64,
    best_acceptable: f64,
}

struct Run {
    world: World,
    rng: ChaCha8Rng,
    class: Class,
    rating_error: f64,
    /// Whether each model's answer to the current request would be acceptable.
    truth: BTreeMap<ModelVersion, bool>,
    /// Sums that the router last shared with its peers.
    shared: Option<Arc<SharedQuality>>,
}

impl Run {
    fn new(class: Class, rating_error: f64, target: QualityTarget) -> Run {
        let mut configuration = configuration();
        let preset = configuration.presets.get_mut("ordinary").expect("the preset");
        preset.quality = target;
        let world = World::with(Mechanisms::default(), configuration, engines(4));
        Run {
            world,
            rng: ChaCha8Rng::seed_from_u64(11),
            class,
            rating_error,
            truth: BTreeMap::new(),
            shared: None,
        }
    }

    fn outcome(&mut self) -> Outcome {
        let mut outcome =
            Outcome { small_runs: 0.0, large_runs: 0.0, acceptable: 0.0, best_acceptable: 0.0 };
        let mut pending: Vec<Rating> = Vec::new();
        for number in 0..REQUESTS {
            let counted = number >= WARM_UP_REQUESTS;
            self.draw();
            let mut request = self.world.chat();
            if let Target::Chat { streamed, .. } = &mut request.target {
                *streamed = self.class.streamed;
            }
            let id = request.id;
            let mut effects = self.world.arrive(request);
            self.record_shared(&effects);
            let mut last = None;
            while let Some(dispatch) = dispatches(&effects).first().map(|d| (*d).clone()) {
                let version = dispatch.model_version.clone().expect("a model");
                if counted && version == large() {
                    outcome.large_runs += 1.0;
                } else if counted {
                    outcome.small_runs += 1.0;
                }
                effects = self.finish_attempt(&dispatch);
                last = Some(version);
            }
            assert!(completion(&effects).is_some(), "request {id} ends: {effects:?}");
            let acceptable = self.truth[&last.expect("one attempt at least")];
            if counted {
                outcome.acceptable += f64::from(u8::from(acceptable));
                outcome.best_acceptable += f64::from(u8::from(self.truth[&large()]));
            }
            pending.extend(self.rating(&effects, id, acceptable));
            let _ = self.world.pass(Duration::from_millis(100));
            if pending.len() > 50 {
                let rating = pending.remove(0);
                let _ = self.world.send(Event::Rated(rating));
            }
        }
        let counted = (REQUESTS - WARM_UP_REQUESTS) as f64;
        Outcome {
            small_runs: outcome.small_runs / counted,
            large_runs: outcome.large_runs / counted,
            acceptable: outcome.acceptable / counted,
            best_acceptable: outcome.best_acceptable / counted,
        }
    }

    fn record_shared(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::ShareQuality(shared) = effect {
                self.shared = Some(Arc::clone(shared));
            }
        }
    }

    /// Draws whether each model's answer is acceptable; in half of the requests both depend on the same sample.
    fn draw(&mut self) {
        let common: f64 = self.rng.random();
        let own: f64 = self.rng.random();
        let sample = if self.rng.random_bool(0.5) { common } else { own };
        self.truth.insert(common::small(), common < self.class.small);
        self.truth.insert(large(), sample < self.class.large);
    }

    fn finish_attempt(&mut self, dispatch: &Dispatch) -> Vec<Effect> {
        let version = dispatch.model_version.clone().expect("a model");
        let mean = if self.truth[&version] { 1.0 } else { -1.0 };
        let noise: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        if self.class.streamed {
            let _ = self.world.send(Event::FirstByte { attempt: dispatch.attempt });
        }
        self.world.finish_with(dispatch.attempt, Some(mean + noise))
    }

    fn rating(&mut self, effects: &[Effect], request: RequestId, truth: bool) -> Option<Rating> {
        effects.iter().find(|effect| matches!(effect, Effect::Rate { .. }))?;
        let wrong = self.rng.random_bool(self.rating_error);
        Some(Rating { request, acceptable: truth != wrong })
    }
}

#[rstest]
#[case::cascade(Class { streamed: false, small: 0.85, large: 0.95 }, 0.01, 0.4)]
#[case::direct(Class { streamed: true, small: 0.955, large: 0.955 }, 0.02, 0.4)]
fn a_cheaper_model_reduces_cost_within_the_slack(
    #[case] class: Class,
    #[case] slack: f64,
    #[case] max_large_runs: f64,
) {
    let outcome = Run::new(class, 0.05, QualityTarget::BelowBest(slack)).outcome();
    assert!(outcome.large_runs < max_large_runs, "{outcome:?}");
    // Allows two standard errors over the counted requests beyond the slack.
    assert!(outcome.acceptable > outcome.best_acceptable - slack - 0.007, "{outcome:?}");
}

#[rstest]
#[case::streamed(Class { streamed: true, small: 0.75, large: 0.95 })]
fn a_model_below_the_target_is_only_explored(#[case] class: Class) {
    let outcome = Run::new(class, 0.05, QualityTarget::BelowBest(0.01)).outcome();
    assert!(outcome.small_runs < 0.05, "{outcome:?}");
    assert!(outcome.acceptable > outcome.best_acceptable - 0.012, "{outcome:?}");
}

#[test]
fn quality_sums_shared_by_a_peer_are_used() {
    let class = || Class { streamed: false, small: 0.85, large: 0.95 };
    let target = QualityTarget::BelowBest(0.01);
    let mut sender = Run::new(class(), 0.05, target);
    let _ = sender.outcome();
    let shared = sender.shared.expect("sums were shared");
    let large_runs_in_first_requests = |shared: Option<Arc<SharedQuality>>| {
        let mut receiver = Run::new(class(), 0.05, target);
        if let Some(shared) = shared {
            let from = "host-2".to_owned();
            let _ = receiver.world.send(Event::PeerQuality { from, shared });
        }
        let mut large_runs = 0;
        for _ in 0..100 {
            receiver.draw();
            let request = receiver.world.chat();
            let mut effects = receiver.world.arrive(request);
            while let Some(dispatch) = dispatches(&effects).first().map(|d| (*d).clone()) {
                large_runs += usize::from(dispatch.model_version == Some(large()));
                effects = receiver.finish_attempt(&dispatch);
            }
            let _ = receiver.world.pass(Duration::from_millis(100));
        }
        large_runs
    };
    let uninformed = large_runs_in_first_requests(None);
    let informed = large_runs_in_first_requests(Some(shared));
    assert!(uninformed > 90, "{uninformed} of 100 at the best model while nothing is known");
    assert!(informed < 50, "{informed} of 100 after a peer shared its sums");
}
