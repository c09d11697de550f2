//! Hosts that fail, restart, leave, are partitioned or have unresponsive connections.

mod support;

use std::time::Duration;

use rstest::rstest;

use foxtailhoist_model::Presence;
use foxtailhoist_peers::PeerEvent;
use foxtailhoist_peers::PeerState;
use foxtailhoist_peers::event::Event;
use foxtailhoist_peers::peer_chart;
use foxtailhoist_peers::ranked_hosts;

use crate::support::Fleet;
use crate::support::centre_name;
use crate::support::listed;

fn converged_fleet(count: usize, centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, centres, seed);
    fleet.run(Duration::from_secs(8));
    fleet
}

fn watcher_count(fleet: &Fleet, centre: usize) -> usize {
    fleet.in_centre(centre).filter(|host| host.recorded.watcher).count()
}

#[test]
fn only_a_higher_incarnation_revives_a_gone_host() {
    let chart = peer_chart().expect("charts/peer.yaml is valid");
    for event in
        [PeerEvent::Suspected, PeerEvent::Left, PeerEvent::DeclaredGone, PeerEvent::Expired]
    {
        assert!(chart.step(PeerState::Gone, event, |_| true).is_none());
    }
    let back = chart.step(PeerState::Gone, PeerEvent::HigherIncarnation, |_| true);
    assert_eq!(back.map(|transition| transition.to), Some(PeerState::Alive));
}

#[rstest]
#[case(6, 3)]
#[case(24, 3)]
#[case(96, 5)]
fn all_hosts_know_each_other_and_each_data_centre_has_two_watchers(
    #[case] count: usize,
    #[case] centres: usize,
) {
    let fleet = converged_fleet(count, centres, 1);
    assert!(fleet.all(|host| host.recorded.alive.len() == count));
    for centre in 0..centres {
        assert_eq!(watcher_count(&fleet, centre), 2);
    }
}

#[test]
fn a_crashed_host_is_gone_everywhere_and_another_becomes_watcher() {
    let mut fleet = converged_fleet(24, 3, 2);
    let watcher = fleet.in_centre(1).find(|host| host.recorded.watcher);
    let crashed = watcher.expect("the data centre has watchers").listed.id.clone();
    fleet.kill(&crashed);
    let noticed = fleet.run_until(Duration::from_secs(12), |fleet| {
        fleet.all(|host| !host.recorded.alive.contains(&crashed))
    });
    assert!(noticed.is_some());
    fleet.run(Duration::from_secs(2));
    assert_eq!(watcher_count(&fleet, 1), 2);
}

#[test]
fn a_crashed_host_that_is_still_in_the_host_list_stays_gone() {
    let mut fleet = converged_fleet(6, 3, 3);
    let list = fleet.list();
    fleet.kill("entry-002");
    fleet.run(Duration::from_secs(15));
    for id in fleet.hosts.keys().cloned().collect::<Vec<_>>() {
        fleet.handle(&id, Event::HostList(list.clone()));
    }
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| !host.recorded.alive.contains("entry-002")));
}

#[test]
fn a_host_that_is_not_yet_in_the_list_is_discovered_through_its_only_known_peer() {
    let mut fleet = converged_fleet(6, 3, 4);
    let mut list = fleet.list();
    list.truncate(1);
    fleet.start(listed(6, 0), &list);
    let found = fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.all(|host| host.recorded.alive.len() == 7)
    });
    assert!(found.is_some());
}

#[test]
fn a_host_listed_as_leaving_is_not_added() {
    let mut fleet = converged_fleet(6, 3, 5);
    let mut old = listed(9, 0);
    old.presence = Presence::Leaving;
    fleet.handle("entry-000", Event::HostList(vec![old]));
    assert_eq!(fleet.hosts["entry-000"].recorded.alive.len(), 6);
}

#[test]
fn a_restarted_host_rejoins_with_its_new_incarnation() {
    let mut fleet = converged_fleet(12, 3, 6);
    let listed = fleet.kill("entry-004");
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| host.recorded.alive.len() == 11));
    let list = fleet.list();
    fleet.start(listed, &list);
    let back = fleet.run_until(Duration::from_secs(5), |fleet| {
        fleet.all(|host| host.recorded.alive.len() == 12)
    });
    assert!(back.is_some());
}

#[test]
fn a_leaving_host_is_excluded_at_once_and_gone_after_it_ends() {
    let mut fleet = converged_fleet(24, 3, 7);
    fleet.handle("entry-003", Event::Stop);
    let excluded = fleet.run_until(Duration::from_secs(3), |fleet| {
        fleet.all(|host| !host.recorded.alive.contains("entry-003"))
    });
    assert!(excluded.is_some());
    // The host still finishes its requests and must not be reported alive meanwhile.
    fleet.run(Duration::from_secs(30));
    assert!(fleet.all(|host| !host.recorded.alive.contains("entry-003")));
    fleet.kill("entry-003");
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| host.recorded.alive.len() == 23));
}

#[test]
fn unresponsive_connections_are_retired_and_their_hosts_stay_members() {
    let mut fleet = converged_fleet(12, 3, 8);
    let ids: Vec<String> = fleet.hosts.keys().cloned().collect();
    for from in &ids {
        fleet.silent.insert((from.clone(), "entry-003".to_owned()));
        fleet.silent.insert(("entry-003".to_owned(), from.clone()));
    }
    for _ in 0..40 {
        fleet.run(Duration::from_millis(500));
        let same_centre = fleet.in_centre(0);
        let lost = same_centre.filter(|host| !host.recorded.alive.contains("entry-003")).count();
        assert_eq!(lost, 0);
    }
    assert!(fleet.hosts["entry-003"].recorded.retired.len() > 1);
}

#[test]
fn a_partitioned_data_centre_is_unreachable_until_the_partition_heals() {
    let mut fleet = converged_fleet(24, 3, 9);
    fleet.isolate(&centre_name(2));
    let noticed = fleet.run_until(Duration::from_secs(25), |fleet| {
        fleet.all(|host| {
            let cut_off = host.listed.data_centre == centre_name(2);
            host.recorded.alive.len() == if cut_off { 8 } else { 16 }
        })
    });
    assert!(noticed.is_some());
    assert_eq!(watcher_count(&fleet, 2), 2);
    fleet.run(Duration::from_secs(120));
    fleet.cut.clear();
    let back = fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.all(|host| host.recorded.alive.len() == 24)
    });
    assert!(back.is_some());
}

#[test]
fn all_hosts_learn_the_new_hosts_of_a_data_centre_replaced_at_once() {
    let mut fleet = converged_fleet(12, 3, 10);
    let old: Vec<String> = fleet.in_centre(1).map(|host| host.listed.id.clone()).collect();
    for id in &old {
        fleet.kill(id);
    }
    let mut list = fleet.list();
    list.extend((20..24).map(|index| listed(index, 1)));
    for index in 20..24 {
        fleet.start(listed(index, 1), &list);
    }
    for id in fleet.hosts.keys().cloned().collect::<Vec<_>>() {
        fleet.handle(&id, Event::HostList(list.clone()));
    }
    fleet.run(Duration::from_secs(30));
    let members = fleet.hosts["entry-020"].recorded.alive.clone();
    assert!(fleet.all(|host| host.recorded.alive.contains("entry-020")));
    assert_eq!(members.len(), 12);
    assert_eq!(watcher_count(&fleet, 1), 2);
}

#[test]
fn replacing_all_hosts_one_by_one_leaves_a_complete_membership() {
    let mut fleet = converged_fleet(6, 3, 11);
    for index in 0..6 {
        let leaver = format!("entry-{index:03}");
        fleet.handle(&leaver, Event::Stop);
        fleet.run(Duration::from_secs(2));
        fleet.kill(&leaver);
        let mut list = fleet.list();
        list.push(listed(100 + index, index % 3));
        fleet.start(listed(100 + index, index % 3), &list);
        fleet.run(Duration::from_secs(3));
    }
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| host.recorded.alive.len() == 6), "a host does not know all members");
    for centre in 0..3 {
        assert_eq!(watcher_count(&fleet, centre), 2);
    }
}

#[test]
fn only_the_keys_of_a_removed_member_change_owner() {
    let all: Vec<String> = (0..20).map(|index| format!("entry-{index:03}")).collect();
    let fewer: Vec<String> = all.iter().filter(|host| *host != "entry-007").cloned().collect();
    for key in 0_u32..500 {
        let before = ranked_hosts(&key.to_le_bytes(), &all, 2);
        let after = ranked_hosts(&key.to_le_bytes(), &fewer, 2);
        let kept: Vec<&String> =
            before.iter().copied().filter(|host| *host != "entry-007").collect();
        assert_eq!(after[..kept.len()], kept[..]);
    }
}
