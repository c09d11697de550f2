//! Lifecycle of a request: arrival, claim, queue, dispatch, bill and end.

mod common;

use std::time::Duration;

use common::World;
use common::cancelled;
use common::completion;
use common::dispatch;
use common::dispatches;
use common::engine;
use common::large;
use common::refusal;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Ran;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use rstest::rstest;

#[test]
fn a_class_without_ratings_is_answered_by_the_best_model() {
    let mut world = World::new();
    let request = world.chat();
    let effects = world.arrive(request.clone());
    let dispatch = dispatch(&effects);
    assert_eq!(dispatch.model_version, Some(large()));
    let effects = world.finish(dispatch.attempt);
    let completion = completion(&effects).expect("answered");
    assert_eq!(completion.attempt, dispatch.attempt);
    assert_eq!(completion.attempts, 1);
}

#[test]
fn the_final_chunk_waits_for_the_bill() {
    let mut world = World::new();
    let request = world.streamed();
    let effects = world.arrive(request.clone());
    let attempt = dispatch(&effects).attempt;
    let effects = world.send(Event::FirstByte { attempt });
    assert!(matches!(effects[..], [Effect::Deliver { .. }]));
    let usage = Default::default();
    let summary = foxtailhoist_route::event::AnswerSummary {
        status: 200,
        usage,
        confidence: None,
        leaving: false,
    };
    let effects = world.send(Event::Finished { attempt, summary });
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Bill { .. })));
    assert!(completion(&effects).is_none());
    let effects = world.send(Event::Billed { request: request.id });
    assert!(completion(&effects).is_some());
}

#[test]
fn a_non_idempotent_request_is_not_dispatched_before_its_claim() {
    let mut world = World::new();
    let request = world.renewal();
    let effects = world.arrive(request.clone());
    assert!(matches!(effects[..], [Effect::Claim(_)]));
    let effects = world.send(Event::ClaimGranted { request: request.id });
    let attempt = dispatch(&effects).attempt;
    // A second grant must not start a second run.
    assert!(dispatches(&world.send(Event::ClaimGranted { request: request.id })).is_empty());
    assert!(completion(&world.finish(attempt)).is_some());
}

#[test]
fn a_refused_claim_ends_the_request_without_effects() {
    let mut world = World::new();
    let request = world.renewal();
    let _ = world.arrive(request.clone());
    assert!(world.send(Event::ClaimRefused { request: request.id }).is_empty());
    assert!(world.send(Event::ClaimGranted { request: request.id }).is_empty());
}

#[rstest]
#[case::sent(true, ErrorKind::OutcomeUnknown, Ran::Unknown)]
#[case::not_sent(false, ErrorKind::BackendFailed, Ran::NotRun)]
fn a_lost_non_idempotent_attempt_is_retried_only_if_never_sent(
    #[case] sent: bool,
    #[case] kind: ErrorKind,
    #[case] ran: Ran,
) {
    let mut world = World::new();
    let request = world.renewal();
    let _ = world.arrive(request.clone());
    let mut effects = world.send(Event::ClaimGranted { request: request.id });
    for _ in 0..8 {
        let Some(attempt) = dispatches(&effects).first().map(|dispatch| dispatch.attempt) else {
            break;
        };
        if sent {
            let _ = world.send(Event::Sent { attempt });
        }
        effects = world.fail(attempt, AttemptFailure::ConnectionLost);
        if refusal(&effects).is_none() {
            assert!(!sent, "a sent non-idempotent request must not be retried");
            effects = world.advance(Duration::from_secs(2));
        }
    }
    let refusal = refusal(&effects).expect("refused in the end");
    assert_eq!((refusal.kind, refusal.ran), (kind, ran));
}

#[test]
fn a_request_without_a_free_server_is_queued_and_then_served() {
    let mut servers = vec![engine("engine-0", "a", 1)];
    servers.truncate(1);
    let mut world = World::with(Mechanisms::default(), common::configuration(), servers);
    let first = world.chat();
    let effects = world.arrive(first);
    let attempt = dispatch(&effects).attempt;
    let second = world.chat();
    assert!(world.arrive(second).is_empty());
    assert_eq!(world.router.stats().queued, 1);
    let effects = world.finish(attempt);
    assert_eq!(dispatches(&effects).len(), 1);
}

#[test]
fn a_deadline_ends_a_running_request_and_frees_its_slot() {
    let servers = vec![engine("engine-0", "a", 1)];
    let mut world = World::with(Mechanisms::default(), common::configuration(), servers);
    let first = world.chat();
    let _ = world.arrive(first);
    world.now += Duration::from_secs(5);
    let second = world.chat();
    let _ = world.arrive(second.clone());
    let effects = world.advance(Duration::from_secs(15));
    let refusal = refusal(&effects).expect("the first ran past its deadline");
    assert_eq!(refusal.kind, ErrorKind::DeadlineExceeded);
    assert_eq!(cancelled(&effects).len(), 1);
    // The second request gets the freed slot.
    assert_eq!(dispatches(&effects).len(), 1);
}

#[test]
fn a_caller_that_disconnects_cancels_its_attempt() {
    let mut world = World::new();
    let request = world.chat();
    let effects = world.arrive(request.clone());
    let attempt = dispatch(&effects).attempt;
    let effects = world.send(Event::CallerGone { request: request.id });
    assert_eq!(cancelled(&effects), [attempt]);
    assert_eq!(refusal(&effects).map(|refusal| refusal.kind), Some(ErrorKind::CallerGone));
    assert!(world.finish(attempt).is_empty());
}

#[test]
fn a_stopping_host_takes_no_new_requests_and_finishes_running_ones() {
    let mut world = World::new();
    let running = world.chat();
    let effects = world.arrive(running);
    let attempt = dispatch(&effects).attempt;
    let _ = world.send(Event::Stopping);
    let late = world.chat();
    let effects = world.arrive(late);
    assert_eq!(refusal(&effects).map(|refusal| refusal.kind), Some(ErrorKind::Stopping));
    assert!(completion(&world.finish(attempt)).is_some());
}
