//! Effect of cache events on server selection, and evidence reported for failed attempts.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::World;
use common::dispatch;
use common::engine;
use common::large;
use common::small;
use foxtailhoist_model::BackendServer;
use foxtailhoist_model::CacheEvent;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Serves;
use foxtailhoist_model::Target;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use foxtailhoist_route::event::EvidenceKind;
use rstest::rstest;

fn engine_of(id: &str, version: ModelVersion) -> BackendServer {
    let loaded = BTreeSet::from([version]);
    BackendServer { serves: Serves::Engine { loaded, slots: 32 }, ..engine(id, "a", 32) }
}

#[test]
fn a_cached_prefix_does_not_attract_requests_to_an_engine_of_another_model() {
    let servers = vec![engine_of("small-0", small()), engine_of("large-0", large())];
    let mut world = World::with(Mechanisms::default(), common::configuration(), servers);
    for sequence in 1..4 {
        let server = "small-0".to_owned();
        let event = CacheEvent { server, sequence, prefix: 9, tokens: 2_000, present: true };
        let _ = world.send(Event::Cache(event));
    }
    for _ in 0..20 {
        let mut request = world.streamed();
        if let Target::Chat { prefix, prefix_tokens, prompt_tokens, .. } = &mut request.target {
            (*prefix, *prefix_tokens, *prompt_tokens) = (9, 2_000, 2_100);
        }
        let dispatched = dispatch(&world.arrive(request));
        let version = dispatched.model_version.expect("a chat has a version");
        assert_eq!(dispatched.server, format!("{}-0", version.model));
        let _ = world.send(Event::FirstByte { attempt: dispatched.attempt });
        let _ = world.finish(dispatched.attempt);
    }
}

#[test]
fn a_crash_that_ends_many_attempts_counts_as_one_failure() {
    let servers = vec![engine_of("large-0", large())];
    let mut world = World::with(Mechanisms::default(), common::configuration(), servers);
    let mut attempts = Vec::new();
    for _ in 0..8 {
        let request = world.streamed();
        let attempt = dispatch(&world.arrive(request)).attempt;
        let _ = world.send(Event::Sent { attempt });
        attempts.push(attempt);
    }
    let mut kinds = Vec::new();
    for attempt in attempts {
        kinds.extend(evidence(&world.fail(attempt, AttemptFailure::ServerDied)));
    }
    assert_eq!(kinds, [EvidenceKind::Ended { failed: true }]);
}

fn evidence(effects: &[Effect]) -> Vec<EvidenceKind> {
    let kind = |effect: &Effect| match effect {
        Effect::Evidence(evidence) => Some(evidence.kind),
        _ => None,
    };
    effects.iter().filter_map(kind).collect()
}

#[rstest]
#[case::slow(AttemptFailure::TimedOut, false)]
#[case::dead(AttemptFailure::ServerDied, true)]
#[case::faulty(AttemptFailure::ServerError, true)]
fn only_timeouts_are_reported_as_latency_evidence(
    #[case] failure: AttemptFailure,
    #[case] fails: bool,
) {
    let mut world = World::new();
    let request = world.chat();
    let attempt = dispatch(&world.arrive(request)).attempt;
    let _ = world.send(Event::Sent { attempt });
    world.now += Duration::from_secs(1);
    let effects = world.fail(attempt, failure);
    let kinds = evidence(&effects);
    let expected = if fails {
        EvidenceKind::Ended { failed: true }
    } else {
        EvidenceKind::Latency { first_byte: Duration::from_secs(1), per_token: Duration::ZERO }
    };
    assert_eq!(kinds, [expected]);
}
