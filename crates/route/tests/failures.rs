//! Failed attempts: retries, hedges, broken streams, contents that crash servers, silent connections.

mod common;

use std::time::Duration;

use common::World;
use common::cancelled;
use common::completion;
use common::configuration;
use common::dispatch;
use common::dispatches;
use common::engine;
use common::engines;
use common::refusal;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Request;
use foxtailhoist_route::Mechanisms;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Dispatch;
use foxtailhoist_route::event::Effect;
use foxtailhoist_route::event::Event;
use foxtailhoist_route::event::EvidenceKind;
use rstest::rstest;

/// Longer than the backoff before a first retry.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Lets a request arrive and marks its attempt as sent.
fn arrive_and_send(world: &mut World, request: Request) -> Dispatch {
    let dispatch = dispatch(&world.arrive(request));
    let _ = world.send(Event::Sent { attempt: dispatch.attempt });
    dispatch
}

#[rstest]
#[case(AttemptFailure::Refused)]
#[case(AttemptFailure::Rejected)]
#[case(AttemptFailure::ServerDied)]
#[case(AttemptFailure::ConnectionLost)]
#[case(AttemptFailure::TimedOut)]
#[case(AttemptFailure::ServerError)]
#[case(AttemptFailure::WrongAttempt)]
fn an_idempotent_request_is_retried_on_another_server(#[case] failure: AttemptFailure) {
    let mut world = World::new();
    let request = world.chat();
    let first = arrive_and_send(&mut world, request);
    assert!(dispatches(&world.fail(first.attempt, failure)).is_empty());
    let second = dispatch(&world.advance(RETRY_WAIT));
    assert_ne!(second.server, first.server);
    assert_eq!(second.resume_after, 0);
    let effects = world.finish(second.attempt);
    assert_eq!(completion(&effects).expect("answered").attempts, 2);
}

#[test]
fn a_late_answer_of_a_failed_attempt_is_ignored() {
    let mut world = World::new();
    let request = world.chat();
    let first = arrive_and_send(&mut world, request);
    let _ = world.fail(first.attempt, AttemptFailure::TimedOut);
    assert!(world.finish(first.attempt).is_empty());
    let second = dispatch(&world.advance(RETRY_WAIT));
    assert!(completion(&world.finish(second.attempt)).is_some());
    assert!(world.finish(second.attempt).is_empty());
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut world = World::new();
    let mut retries = 0;
    for _ in 0..100 {
        let request = world.chat();
        let mut effects = world.arrive(request);
        while let Some(dispatch) = dispatches(&effects).first().map(|d| (*d).clone()) {
            effects = world.fail(dispatch.attempt, AttemptFailure::ServerError);
            if refusal(&effects).is_some() {
                break;
            }
            retries += 1;
            effects = world.advance(Duration::from_secs(1));
        }
    }
    // A tenth of the first attempts plus the reserve of the workspace.
    assert!((10..=15).contains(&retries), "{retries} retries of 100 requests");
}

#[test]
fn no_retry_starts_after_the_deadline() {
    let mut world = World::new();
    let mut request = world.chat();
    request.deadline = world.now + Duration::from_millis(5);
    let first = arrive_and_send(&mut world, request);
    let effects = world.fail(first.attempt, AttemptFailure::ConnectionLost);
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::BackendFailed));
    assert!(dispatches(&world.advance(Duration::from_secs(5))).is_empty());
}

#[test]
fn retries_can_be_switched_off() {
    let off = Mechanisms { retries: false, ..Mechanisms::default() };
    let mut world = World::with(off, configuration(), engines(2));
    let request = world.chat();
    let first = arrive_and_send(&mut world, request);
    let effects = world.fail(first.attempt, AttemptFailure::ConnectionLost);
    assert!(refusal(&effects).is_some());
}

#[test]
fn a_broken_stream_is_resumed_on_the_same_version() {
    let mut world = World::new();
    let request = world.streamed();
    let first = arrive_and_send(&mut world, request);
    let _ = world.send(Event::FirstByte { attempt: first.attempt });
    let _ = world.send(Event::Progress { attempt: first.attempt, tokens: 7 });
    let _ = world.fail(first.attempt, AttemptFailure::ConnectionLost);
    let second = dispatch(&world.advance(RETRY_WAIT));
    assert_eq!((second.resume_after, &second.model_version), (7, &first.model_version));
    let effects = world.send(Event::FirstByte { attempt: second.attempt });
    assert!(matches!(effects[..], [Effect::Deliver { attempt, .. }] if attempt == second.attempt));
    assert!(completion(&world.finish(second.attempt)).is_some());
}

#[test]
fn a_broken_stream_whose_version_was_vetoed_is_refused() {
    let mut world = World::new();
    let request = world.streamed();
    let first = arrive_and_send(&mut world, request);
    let _ = world.send(Event::FirstByte { attempt: first.attempt });
    let _ = world.send(Event::Progress { attempt: first.attempt, tokens: 7 });
    let _ = world.send(Event::Vetoed(first.model_version.expect("a model")));
    let _ = world.fail(first.attempt, AttemptFailure::ConnectionLost);
    let effects = world.advance(RETRY_WAIT);
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::StreamBroken));
}

#[test]
fn a_slow_attempt_is_hedged_and_the_loser_is_cancelled() {
    let mut world = World::new();
    let request = world.streamed();
    let slow = arrive_and_send(&mut world, request);
    let effects = world.advance(Duration::from_secs(3));
    let hedge = dispatch(&effects);
    assert_ne!(hedge.server, slow.server);
    let effects = world.send(Event::FirstByte { attempt: hedge.attempt });
    assert_eq!(cancelled(&effects), [slow.attempt]);
    let delivered =
        |e: &Effect| matches!(e, Effect::Deliver { attempt, .. } if *attempt == hedge.attempt);
    assert!(effects.iter().any(delivered));
    assert!(world.send(Event::FirstByte { attempt: slow.attempt }).is_empty());
    assert!(completion(&world.finish(hedge.attempt)).is_some());
}

#[test]
fn the_loss_of_one_hedged_attempt_leaves_the_other_running() {
    let mut world = World::new();
    let request = world.streamed();
    let slow = arrive_and_send(&mut world, request);
    let hedge = dispatch(&world.advance(Duration::from_secs(3)));
    assert!(refusal(&world.fail(hedge.attempt, AttemptFailure::ConnectionLost)).is_none());
    let _ = world.send(Event::FirstByte { attempt: slow.attempt });
    assert!(completion(&world.finish(slow.attempt)).is_some());
}

#[test]
fn a_non_idempotent_request_is_never_hedged() {
    let mut servers = engines(1);
    servers.extend(servers.last().cloned().map(|mut server| {
        server.id = "renewals-1".to_owned();
        server
    }));
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let request = world.renewal();
    let _ = world.arrive(request.clone());
    let effects = world.send(Event::ClaimGranted { request: request.id });
    let _ = world.send(Event::Sent { attempt: dispatch(&effects).attempt });
    assert!(dispatches(&world.advance(Duration::from_secs(15))).is_empty());
}

#[test]
fn a_content_that_crashes_two_servers_is_quarantined() {
    let mut world = World::with(Mechanisms::default(), configuration(), engines(4));
    let request = world.chat();
    let first = arrive_and_send(&mut world, request.clone());
    let effects = world.fail(first.attempt, AttemptFailure::ServerDied);
    assert!(effects.iter().any(|e| matches!(e, Effect::Suspect(f) if *f == request.fingerprint)));
    let second = dispatch(&world.advance(RETRY_WAIT));
    let _ = world.send(Event::Sent { attempt: second.attempt });
    let effects = world.fail(second.attempt, AttemptFailure::ServerDied);
    assert!(effects.iter().any(|e| matches!(e, Effect::Quarantine(_))));
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::Quarantined));
    let mut resent = world.chat();
    resent.fingerprint = request.fingerprint;
    let effects = world.arrive(resent);
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::Quarantined));
}

#[test]
fn a_content_that_a_peer_suspects_is_quarantined_after_one_more_crash() {
    let mut world = World::new();
    let request = world.chat();
    let _ = world.send(Event::Suspected(request.fingerprint));
    let first = arrive_and_send(&mut world, request);
    let effects = world.fail(first.attempt, AttemptFailure::ServerDied);
    assert!(effects.iter().any(|e| matches!(e, Effect::Quarantine(_))));
}

#[test]
fn a_content_that_a_peer_quarantined_is_refused() {
    let mut world = World::new();
    let request = world.chat();
    let _ = world.send(Event::Quarantined(request.fingerprint));
    let effects = world.arrive(request);
    assert_eq!(refusal(&effects).map(|r| r.kind), Some(ErrorKind::Quarantined));
}

#[test]
fn a_suspect_content_runs_alone_on_its_server_and_is_not_hedged() {
    let mut world = World::with(Mechanisms::default(), configuration(), engines(2));
    let suspect = world.chat();
    let _ = world.send(Event::Suspected(suspect.fingerprint));
    let alone = arrive_and_send(&mut world, suspect);
    for _ in 0..20 {
        let other = world.chat();
        let effects = world.arrive(other);
        assert!(dispatches(&effects).iter().all(|dispatch| dispatch.server != alone.server));
    }
    let effects = world.advance(Duration::from_secs(10));
    let hedged = dispatches(&effects).iter().any(|d| d.request == alone.request);
    assert!(!hedged, "a suspect content was hedged");
}

#[test]
fn a_silent_connection_is_retired_without_evidence_against_its_server() {
    let servers = vec![engine("engine-0", "a", 8)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let request = world.chat();
    let first = arrive_and_send(&mut world, request);
    let effects = world.fail(first.attempt, AttemptFailure::SilentConnection);
    assert!(
        effects.iter().any(|e| matches!(e, Effect::RetireConnections(s) if *s == first.server))
    );
    assert!(!effects.iter().any(|e| matches!(e, Effect::Evidence(_) | Effect::Suspect(_))));
    assert_eq!(dispatch(&world.advance(RETRY_WAIT)).server, first.server);
}

#[test]
fn a_dead_server_is_probed_by_one_request_at_a_time() {
    let servers = vec![engine("engine-0", "a", 8), engine("engine-1", "a", 8)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let request = world.chat();
    let dead = arrive_and_send(&mut world, request);
    let _ = world.fail(dead.attempt, AttemptFailure::ServerDied);
    let mut sent_to_dead = 0;
    for _ in 0..10 {
        let request = world.chat();
        let effects = world.arrive(request);
        sent_to_dead += dispatches(&effects).iter().filter(|d| d.server == dead.server).count();
    }
    assert_eq!(sent_to_dead, 0, "no work before the server may be probed");
    let _ = world.advance(Duration::from_secs(2));
    for _ in 0..10 {
        let request = world.chat();
        let effects = world.arrive(request);
        sent_to_dead += dispatches(&effects).iter().filter(|d| d.server == dead.server).count();
    }
    assert!(sent_to_dead <= 1, "{sent_to_dead} requests at a server that has not recovered");
}

#[test]
fn a_suspect_content_waits_for_an_idle_server() {
    let servers = vec![engine("engine-0", "a", 8)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let request = world.chat();
    let running = arrive_and_send(&mut world, request);
    let suspect = world.chat();
    let _ = world.send(Event::Suspected(suspect.fingerprint));
    assert!(dispatches(&world.arrive(suspect.clone())).is_empty());
    let effects = world.finish(running.attempt);
    assert_eq!(dispatch(&effects).request, suspect.id);
}

#[test]
fn a_retry_after_a_silent_connection_stays_in_the_data_centre() {
    let servers = vec![engine("near", "a", 8), engine("far", "b", 8)];
    let mut world = World::with(Mechanisms::default(), configuration(), servers);
    let request = world.chat();
    let first = arrive_and_send(&mut world, request);
    assert_eq!(first.server, "near");
    let _ = world.fail(first.attempt, AttemptFailure::SilentConnection);
    assert_eq!(dispatch(&world.advance(RETRY_WAIT)).server, "near");
}

#[rstest]
#[case::server_error(AttemptFailure::ServerError, true)]
#[case::timed_out(AttemptFailure::TimedOut, false)]
#[case::rejected(AttemptFailure::Rejected, false)]
#[case::connection_lost(AttemptFailure::ConnectionLost, false)]
fn only_failures_of_the_version_count_against_it(
    #[case] failure: AttemptFailure,
    #[case] counts: bool,
) {
    let mut world = World::new();
    let request = world.chat();
    let first = arrive_and_send(&mut world, request);
    let effects = world.fail(first.attempt, failure);
    let ended = EvidenceKind::Ended { failed: true };
    let against = |effect: &Effect| matches!(effect, Effect::Evidence(e) if e.kind == ended);
    assert_eq!(effects.iter().any(against), counts);
}
