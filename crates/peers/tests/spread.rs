//! Configurations, vetoes and other announcements reach every reachable host.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use foxtailhoist_peers::event::Announcement;
use foxtailhoist_peers::event::Event;

use crate::support::Fleet;
use crate::support::centre_name;
use crate::support::configuration;
use crate::support::version;

/// Maximum time until a change is in force on all hosts.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(3);

fn converged_fleet(count: usize, centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, centres, seed);
    fleet.run(Duration::from_secs(8));
    fleet
}

#[rstest]
#[case(6, 3)]
#[case(24, 3)]
#[case(96, 5)]
fn a_configuration_is_in_force_everywhere_in_time(#[case] count: usize, #[case] centres: usize) {
    let mut fleet = converged_fleet(count, centres, 1);
    for revision in 1..=5 {
        fleet.adopt("entry-000", &configuration(revision));
        let took = fleet.run_until(MAX_SPREAD_TIME, |fleet| {
            fleet.all(|host| host.peers.revision() == revision)
        });
        assert!(took.is_some(), "revision {revision} is not in force on all hosts");
        fleet.run(Duration::from_millis(700));
    }
}

#[rstest]
#[case(6, 3)]
#[case(24, 3)]
#[case(96, 5)]
fn a_veto_reaches_every_host_in_time_despite_message_loss(
    #[case] count: usize,
    #[case] centres: usize,
) {
    let mut fleet = converged_fleet(count, centres, 2);
    fleet.loss = 0.1;
    for name in ["1", "2", "3"] {
        fleet.veto("entry-001", &version(name), 0);
        let took = fleet.run_until(MAX_SPREAD_TIME, |fleet| {
            fleet.all(|host| host.peers.vetoes().contains_key(&version(name)))
        });
        assert!(took.is_some(), "the veto of {name} is not on all hosts");
    }
}

#[test]
fn every_kind_of_announcement_arrives_once_despite_heavy_message_loss() {
    let mut fleet = converged_fleet(24, 3, 3);
    fleet.loss = 0.6;
    let announcements = [
        Announcement::Suspected { fingerprint: 7 },
        Announcement::Quarantined { fingerprint: 7 },
        Announcement::Leaving { server: "engine-1".to_owned() },
    ];
    for announcement in &announcements {
        fleet.handle("entry-002", Event::Announce(announcement.clone()));
    }
    let arrived = fleet.run_until(Duration::from_secs(60), |fleet| {
        fleet.all(|host| {
            let known = |a| host.recorded.learned.contains(a) || host.listed.id == "entry-002";
            announcements.iter().all(known)
        })
    });
    assert!(arrived.is_some());
}

#[test]
fn the_announcement_of_a_leaving_server_expires_everywhere_and_does_not_come_back() {
    let mut fleet = converged_fleet(6, 3, 4);
    let leaving = Announcement::Leaving { server: "engine-1".to_owned() };
    fleet.handle("entry-002", Event::Announce(leaving));
    fleet.run(Duration::from_secs(290));
    assert!(fleet.all(|host| host.peers.table_sizes().announcements == 1));
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all(|host| host.peers.table_sizes().announcements == 0));
}

#[test]
fn vetoes_from_both_sides_of_a_partition_merge_after_it() {
    let mut fleet = converged_fleet(12, 3, 5);
    fleet.isolate(&centre_name(0));
    fleet.run(Duration::from_secs(30));
    fleet.veto("entry-000", &version("1"), 0);
    fleet.veto("entry-001", &version("2"), 0);
    fleet.run(Duration::from_secs(30));
    for host in fleet.in_centre(0) {
        assert_eq!(host.peers.vetoes().len(), 1);
    }
    fleet.cut.clear();
    let merged = fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.all(|host| host.peers.vetoes().len() == 2)
    });
    assert!(merged.is_some());
}

#[test]
fn only_a_higher_epoch_clears_a_veto_and_an_old_veto_does_not_come_back() {
    let mut fleet = converged_fleet(12, 3, 6);
    fleet.veto("entry-000", &version("1"), 0);
    fleet.run(MAX_SPREAD_TIME);
    fleet.clear_veto("entry-001", &version("1"), 0);
    fleet.run(MAX_SPREAD_TIME);
    assert!(
        fleet.all(|host| host.peers.vetoes().len() == 1),
        "a clearance of epoch 0 does not clear a veto of epoch 0"
    );
    fleet.isolate(&centre_name(0));
    fleet.run(Duration::from_secs(20));
    fleet.clear_veto("entry-001", &version("1"), 1);
    fleet.run(MAX_SPREAD_TIME);
    fleet.cut.clear();
    // The partitioned hosts still have the veto of epoch 0 when they reconnect to hosts that have the clearance.
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all(|host| host.peers.vetoes().is_empty()));
    fleet.veto("entry-002", &version("1"), 1);
    fleet.run(MAX_SPREAD_TIME);
    assert!(fleet.all(|host| host.peers.vetoes().len() == 1));
}

#[test]
fn a_partitioned_host_catches_up_after_more_revisions_than_kept_changes() {
    let mut fleet = converged_fleet(6, 3, 7);
    fleet.isolate(&centre_name(0));
    for revision in 1..=60 {
        fleet.adopt("entry-001", &configuration(revision));
        fleet.run(Duration::from_millis(100));
    }
    fleet.run(Duration::from_secs(2));
    assert!(fleet.in_centre(0).all(|host| host.peers.revision() == 0));
    fleet.cut.clear();
    let caught_up = fleet
        .run_until(Duration::from_secs(10), |fleet| fleet.all(|host| host.peers.revision() == 60));
    assert!(caught_up.is_some());
}

#[test]
fn all_hosts_keep_the_highest_revision_after_a_partition() {
    let mut fleet = converged_fleet(6, 3, 8);
    fleet.adopt("entry-000", &configuration(1));
    fleet.run(MAX_SPREAD_TIME);
    fleet.isolate(&centre_name(0));
    fleet.adopt("entry-001", &configuration(5));
    fleet.run(Duration::from_secs(5));
    // The partitioned data centre reads an older revision from the store.
    fleet.handle("entry-000", Event::Adopted(configuration(1)));
    fleet.cut.clear();
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all(|host| host.peers.revision() == 5));
}

#[test]
fn a_confirmation_of_one_watcher_reaches_the_other_hosts() {
    let mut fleet = converged_fleet(24, 3, 9);
    fleet.adopt("entry-000", &configuration(4));
    fleet.run(MAX_SPREAD_TIME);
    fleet.handle("entry-000", Event::Confirmed { revision: 4, age: Duration::ZERO });
    fleet.run(Duration::from_secs(10));
    let known = |host: &support::Host| {
        host.recorded.confirmed.contains(&4) || host.listed.id == "entry-000"
    };
    assert!(fleet.all(known));
}

#[test]
fn members_report_the_revision_of_each_host() {
    let mut fleet = converged_fleet(24, 3, 10);
    let configuration = configuration(9);
    fleet.adopt("entry-000", &Arc::clone(&configuration));
    fleet.run(Duration::from_secs(15));
    let members = fleet.hosts["entry-004"].peers.members();
    assert_eq!(members.len(), 24);
    assert!(members.iter().all(|member| member.revision == 9), "{members:?}");
}
