//! Roll-outs advance step by step, stop on vetoes and store outages, and resume on another host.

mod common;

use std::time::Duration;

use common::Fleet;
use common::canary;
use common::host;
use common::settled;
use common::step_zero;
use foxtailhoist_model::Stage;
use foxtailhoist_rollout::event::Event;

const HOSTS: [&str; 3] = ["nashua-1", "lowell-1", "concord-1"];
/// A little longer than the hold time of a step.
const HOLD: Duration = Duration::from_secs(65);

/// Step of a canary and sum of its quotas.
fn step_and_total(stage: &Stage) -> Option<(usize, u32)> {
    match stage {
        Stage::Canary { step, quotas, .. } => Some((*step, quotas.values().sum())),
        _ => None,
    }
}

/// Hosts with a canary at the first step, whose quotas are allocated.
fn started() -> Fleet {
    let mut fleet = Fleet::new(&HOSTS, step_zero());
    fleet.rate(&settled(), 180, 20);
    fleet.run(Duration::from_secs(5));
    fleet
}

#[test]
fn a_good_version_passes_all_steps_and_settles() {
    let mut fleet = started();
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((0, 10)));
    fleet.rate(&canary(), 38, 3);
    fleet.run(HOLD);
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((1, 60)));
    fleet.rate(&canary(), 80, 8);
    fleet.run(HOLD);
    assert_eq!(*fleet.stage(&canary()), Stage::Settled);
}

#[test]
fn neither_time_nor_ratings_alone_pass_a_step() {
    let mut fleet = started();
    fleet.run(HOLD);
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((0, 10)), "no ratings");
    let mut fleet = started();
    fleet.rate(&canary(), 40, 4);
    fleet.run(Duration::from_secs(20));
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((0, 10)), "too early");
}

#[test]
fn ratings_of_an_earlier_step_do_not_count_again() {
    let mut fleet = started();
    fleet.rate(&canary(), 38, 3);
    fleet.run(HOLD);
    fleet.rate(&canary(), 60, 5);
    fleet.run(HOLD);
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((1, 60)), "24 ratings at the step");
}

#[test]
fn a_slightly_worse_version_does_not_advance() {
    let mut fleet = started();
    fleet.rate(&canary(), 30, 10);
    fleet.run(HOLD);
    assert!(fleet.vetoes.is_empty());
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((0, 10)));
}

#[test]
fn a_veto_withdraws_the_version_in_the_configuration() {
    let mut fleet = started();
    fleet.rate(&canary(), 0, 30);
    fleet.run(Duration::from_secs(2));
    let record = &fleet.configuration.versions[&canary()];
    assert_eq!(record.stage, Stage::Withdrawing);
    assert!(record.vetoed);
    fleet.run(Duration::from_secs(45));
    let record = &fleet.configuration.versions[&canary()];
    assert_eq!(record.stage, Stage::Withdrawn);
    assert!(record.vetoed);
}

#[test]
fn during_a_store_outage_nothing_advances_and_vetoes_work() {
    let mut fleet = started();
    fleet.store_up = false;
    fleet.rate(&canary(), 38, 3);
    fleet.run(HOLD * 2);
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((0, 10)));
    fleet.rate(&canary(), 38, 60);
    assert_eq!(fleet.vetoes.len(), HOSTS.len(), "every host vetoes on the evidence it sees");
    fleet.store_up = true;
    fleet.run(Duration::from_secs(30));
    assert_eq!(*fleet.stage(&canary()), Stage::Withdrawing);
}

#[test]
fn a_successor_resumes_from_the_configuration_alone() {
    let mut fleet = started();
    fleet.rate(&canary(), 38, 3);
    fleet.run(HOLD);
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((1, 60)));
    // All hosts are replaced at once, so their evidence is lost.
    fleet.hosts.clear();
    fleet.leaders.clear();
    for name in ["nashua-2", "lowell-2", "concord-2"] {
        fleet.hosts.insert(name.to_owned(), host(name));
    }
    fleet.announce_hosts();
    fleet.announce_configuration();
    fleet.run(Duration::from_secs(15));
    fleet.rate(&settled(), 180, 20);
    fleet.rate(&canary(), 40, 3);
    fleet.run(HOLD);
    assert_eq!(*fleet.stage(&canary()), Stage::Settled);
}

#[test]
fn quotas_of_removed_hosts_are_not_reassigned() {
    let mut fleet = started();
    let before = match fleet.stage(&canary()) {
        Stage::Canary { quotas, .. } => quotas.clone(),
        other => panic!("not in canary: {other:?}"),
    };
    fleet.hosts.remove("concord-1");
    fleet.leaders.remove("concord-1");
    fleet.hosts.insert("concord-2".to_owned(), host("concord-2"));
    fleet.announce_hosts();
    fleet.announce_configuration();
    fleet.rate(&settled(), 180, 20);
    fleet.run(Duration::from_secs(15));
    fleet.rate(&canary(), 38, 3);
    fleet.run(HOLD);
    let Stage::Canary { step: 1, quotas, .. } = fleet.stage(&canary()) else {
        panic!("not at the second step: {:?}", fleet.stage(&canary()));
    };
    assert_eq!(quotas["concord-1"], before["concord-1"]);
    assert_eq!(quotas.values().sum::<u32>(), 60);
    assert!(quotas["concord-2"] > 0);
}

#[test]
fn a_preset_with_a_lower_bound_lowers_the_quotas_at_the_next_step() {
    let mut fleet = started();
    fleet.configuration.presets.get_mut("ordinary").expect("the preset").rollout.steps[1].callers =
        4;
    fleet.announce_configuration();
    fleet.rate(&canary(), 38, 3);
    fleet.run(HOLD);
    assert_eq!(step_and_total(fleet.stage(&canary())), Some((1, 4)));
}

#[test]
fn a_refused_stage_request_is_retried() {
    let mut fleet = started();
    fleet.highest_fencing = 5;
    fleet.broadcast(&Event::Vetoed { model_version: canary(), epoch: 0 });
    fleet.run(Duration::from_secs(10));
    let sent = fleet.requests.iter().filter(|request| request.stage == Stage::Withdrawing).count();
    assert!((2..=12).contains(&sent), "requested {sent} times in ten seconds");
}
