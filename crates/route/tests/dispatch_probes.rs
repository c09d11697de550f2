//! Load: many streams at servers that go dark or are cut off, among engines that are silent because they read prompts.

mod fleet;

use foxtailhoist_route::dispatch::HeadVerdict;
use foxtailhoist_route::dispatch::Step;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::InFlightRequest;
use rstest::rstest;

use fleet::Bed;
use fleet::OTHER;
use fleet::bed;
use fleet::good;
use fleet::listing;
use fleet::millis;

/// Streams that have begun, spread over the engines.
fn streams(bed: &mut Bed, count: usize) -> Vec<(InFlightRequest, Attempt)> {
    let mut begun = Vec::new();
    for _ in 0..count {
        let mut flight = bed.flight("/chat/1");
        let attempt = bed.send(&mut flight);
        assert_eq!(bed.head(&mut flight, &attempt, good()), HeadVerdict::Deliver);
        begun.push((flight, attempt));
    }
    begun
}

#[test]
fn a_silent_server_is_probed_once_for_all_its_streams() {
    let mut bed = bed();
    let begun = streams(&mut bed, 30);
    let since = bed.now;
    bed.pass(millis(500));
    let mut probes = Vec::new();
    for (_, attempt) in &begun {
        probes.extend(bed.dispatcher.take_probe(attempt, since, bed.now));
    }
    let mut servers: Vec<&String> = begun.iter().map(|(_, attempt)| &attempt.server).collect();
    servers.sort();
    servers.dedup();
    let mut probed: Vec<&String> = probes.iter().map(|probe| &probe.server).collect();
    probed.sort();
    assert_eq!(probed, servers);
}

#[test]
fn streams_of_a_server_that_cannot_be_reached_go_on_elsewhere_in_time() {
    let mut bed = bed();
    let mut begun = streams(&mut bed, 30);
    let dark = begun[0].1.server.clone();
    let since = bed.now;
    bed.pass(millis(500));
    let probe = bed.dispatcher.take_probe(&begun[0].1, since, bed.now).expect("a probe");
    bed.pass(millis(200));
    bed.dispatcher.probe_ended(&probe, false, bed.now);
    let mut moved = 0;
    for (flight, attempt) in &mut begun {
        let is_dark = attempt.server == dark;
        assert_eq!(bed.dispatcher.is_stalled(flight, attempt, since, bed.now), is_dark);
        if is_dark {
            moved += 1;
            bed.end(flight, attempt, foxtailhoist_route::in_flight::AttemptOutcome::Silent);
            let Step::Send(next) = bed.next(flight) else { panic!("the stream does not go on") };
            assert_ne!(next.server, dark);
        }
    }
    assert!(moved > 0);
    // The pause that callers count as on time leaves room for the prompt to be read again.
    let target = begun[0].0.route.event_gap_target.expect("a stream");
    assert!(bed.now - since + millis(400) <= target);
}

#[rstest]
#[case::reached(true, false)]
#[case::sign_of_life(false, true)]
fn a_server_that_lives_is_waited_for(#[case] reached: bool, #[case] has_sign: bool) {
    let mut bed = bed();
    let begun = streams(&mut bed, 1);
    let (flight, attempt) = &begun[0];
    let since = bed.now;
    bed.pass(millis(500));
    let probe = bed.dispatcher.take_probe(attempt, since, bed.now).expect("a probe");
    bed.dispatcher.probe_ended(&probe, reached, bed.now);
    bed.pass(millis(100));
    if has_sign {
        bed.dispatcher.event_received(attempt, None, bed.now);
    }
    assert!(!bed.dispatcher.is_stalled(flight, attempt, since, bed.now));
    assert!(!bed.dispatcher.is_head_overdue(attempt, since, bed.now));
}

#[test]
fn new_requests_leave_a_data_centre_whose_servers_cannot_be_reached() {
    let mut bed = bed();
    for id in ["far-1", "far-2", "far-3", "far-4"] {
        bed.list(listing(id, "llm", OTHER));
    }
    let begun = streams(&mut bed, 120);
    let since = bed.now;
    bed.pass(millis(500));
    for (_, attempt) in &begun {
        if attempt.server.starts_with("far")
            && let Some(probe) = bed.dispatcher.take_probe(attempt, since, bed.now)
        {
            bed.dispatcher.probe_ended(&probe, false, bed.now);
        }
    }
    for (_, attempt) in streams(&mut bed, 60) {
        assert!(!attempt.server.starts_with("far"), "{} was chosen", attempt.server);
    }
}

#[test]
fn an_attempt_without_a_head_is_given_up_when_its_server_cannot_be_reached() {
    let mut bed = bed();
    let mut flight = bed.flight("/chat/1");
    let attempt = bed.send(&mut flight);
    let begun = bed.now;
    bed.pass(millis(500));
    assert!(!bed.dispatcher.is_head_overdue(&attempt, begun, bed.now));
    let probe = bed.dispatcher.take_probe(&attempt, begun, bed.now).expect("a probe");
    bed.dispatcher.probe_ended(&probe, false, bed.now);
    assert!(bed.dispatcher.is_head_overdue(&attempt, begun, bed.now));
}
