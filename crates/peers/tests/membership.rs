//! Hosts that fail, restart, leave, are cut off or have silent connections.

mod support;

use std::time::Duration;

use rstest::rstest;

use foxtailhoist_model::Presence;
use foxtailhoist_peers::PeerEvent;
use foxtailhoist_peers::PeerState;
use foxtailhoist_peers::event::Event;
use foxtailhoist_peers::homes;
use foxtailhoist_peers::peer_chart;

use crate::support::Fleet;
use crate::support::centre_name;
use crate::support::listed;

fn settled(count: usize, centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, centres, seed);
    fleet.run(Duration::from_secs(8));
    fleet
}

fn watchers(fleet: &Fleet, centre: usize) -> usize {
    fleet.in_centre(centre).filter(|host| host.seen.watcher).count()
}

#[test]
fn the_chart_lets_nothing_but_a_higher_incarnation_bring_a_host_back() {
    let chart = peer_chart().expect("the file is sound");
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
    let fleet = settled(count, centres, 1);
    assert!(fleet.all(|host| host.seen.alive.len() == count));
    for centre in 0..centres {
        assert_eq!(watchers(&fleet, centre), 2);
    }
}

#[test]
fn a_host_that_dies_is_gone_everywhere_and_its_watch_moves() {
    let mut fleet = settled(24, 3, 2);
    let watcher = fleet.in_centre(1).find(|host| host.seen.watcher);
    let dead = watcher.expect("there are two").listed.id.clone();
    fleet.kill(&dead);
    let noticed = fleet.run_until(Duration::from_secs(12), |fleet| {
        fleet.all(|host| !host.seen.alive.contains(&dead))
    });
    assert!(noticed.is_some());
    fleet.run(Duration::from_secs(2));
    assert_eq!(watchers(&fleet, 1), 2);
}

#[test]
fn a_dead_host_that_the_host_list_still_shows_stays_gone() {
    let mut fleet = settled(6, 3, 3);
    let list = fleet.list();
    fleet.kill("entry-002");
    fleet.run(Duration::from_secs(15));
    for id in fleet.hosts.keys().cloned().collect::<Vec<_>>() {
        fleet.handle(&id, Event::HostList(list.clone()));
    }
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| !host.seen.alive.contains("entry-002")));
}

#[test]
fn a_host_that_the_list_does_not_show_yet_is_found_through_the_one_that_it_knows() {
    let mut fleet = settled(6, 3, 4);
    let mut list = fleet.list();
    list.truncate(1);
    fleet.start(listed(6, 0), &list);
    let found = fleet
        .run_until(Duration::from_secs(10), |fleet| fleet.all(|host| host.seen.alive.len() == 7));
    assert!(found.is_some());
}

#[test]
fn a_host_shown_as_leaving_is_not_added() {
    let mut fleet = settled(6, 3, 5);
    let mut old = listed(9, 0);
    old.presence = Presence::Leaving;
    fleet.handle("entry-000", Event::HostList(vec![old]));
    assert_eq!(fleet.hosts["entry-000"].seen.alive.len(), 6);
}

#[test]
fn a_restarted_host_is_taken_back_with_its_new_incarnation() {
    let mut fleet = settled(12, 3, 6);
    let listed = fleet.kill("entry-004");
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| host.seen.alive.len() == 11));
    let list = fleet.list();
    fleet.start(listed, &list);
    let back = fleet
        .run_until(Duration::from_secs(5), |fleet| fleet.all(|host| host.seen.alive.len() == 12));
    assert!(back.is_some());
}

#[test]
fn a_host_that_leaves_is_no_home_at_once_and_is_gone_when_it_ends() {
    let mut fleet = settled(24, 3, 7);
    fleet.handle("entry-003", Event::Stop);
    let told = fleet.run_until(Duration::from_secs(3), |fleet| {
        fleet.all(|host| !host.seen.alive.contains("entry-003"))
    });
    assert!(told.is_some());
    // It still finishes its requests; nobody may take it for alive meanwhile.
    fleet.run(Duration::from_secs(30));
    assert!(fleet.all(|host| !host.seen.alive.contains("entry-003")));
    fleet.kill("entry-003");
    fleet.run(Duration::from_secs(15));
    assert!(fleet.all(|host| host.seen.alive.len() == 23));
}

#[test]
fn silent_connections_are_retired_and_their_hosts_stay_members() {
    let mut fleet = settled(12, 3, 8);
    let ids: Vec<String> = fleet.hosts.keys().cloned().collect();
    for from in &ids {
        fleet.silent.insert((from.clone(), "entry-003".to_owned()));
        fleet.silent.insert(("entry-003".to_owned(), from.clone()));
    }
    for _ in 0..40 {
        fleet.run(Duration::from_millis(500));
        let near = fleet.in_centre(0);
        let lost = near.filter(|host| !host.seen.alive.contains("entry-003")).count();
        assert_eq!(lost, 0);
    }
    assert!(fleet.hosts["entry-003"].seen.retired.len() > 1);
}

#[test]
fn a_data_centre_that_is_cut_off_is_unreachable_and_comes_back() {
    let mut fleet = settled(24, 3, 9);
    fleet.isolate(&centre_name(2));
    let noticed = fleet.run_until(Duration::from_secs(25), |fleet| {
        fleet.all(|host| {
            let cut_off = host.listed.data_centre == centre_name(2);
            host.seen.alive.len() == if cut_off { 8 } else { 16 }
        })
    });
    assert!(noticed.is_some());
    assert_eq!(watchers(&fleet, 2), 2);
    fleet.run(Duration::from_secs(120));
    fleet.cut.clear();
    let back = fleet
        .run_until(Duration::from_secs(10), |fleet| fleet.all(|host| host.seen.alive.len() == 24));
    assert!(back.is_some());
}

#[test]
fn a_whole_data_centre_replaced_at_once_is_known_by_its_new_hosts() {
    let mut fleet = settled(12, 3, 10);
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
    let members = fleet.hosts["entry-020"].seen.alive.clone();
    assert!(fleet.all(|host| host.seen.alive.contains("entry-020")));
    assert_eq!(members.len(), 12);
    assert_eq!(watchers(&fleet, 1), 2);
}

#[test]
fn all_hosts_replaced_one_by_one_leave_a_whole_membership() {
    let mut fleet = settled(6, 3, 11);
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
    assert!(fleet.all(|host| host.seen.alive.len() == 6), "someone is missing");
    for centre in 0..3 {
        assert_eq!(watchers(&fleet, centre), 2);
    }
}

#[test]
fn a_member_that_leaves_moves_only_its_own_keys() {
    let all: Vec<String> = (0..20).map(|index| format!("entry-{index:03}")).collect();
    let fewer: Vec<String> = all.iter().filter(|host| *host != "entry-007").cloned().collect();
    for key in 0_u32..500 {
        let before = homes(&key.to_le_bytes(), &all, 2);
        let after = homes(&key.to_le_bytes(), &fewer, 2);
        let kept: Vec<&String> =
            before.iter().copied().filter(|host| *host != "entry-007").collect();
        assert_eq!(after[..kept.len()], kept[..]);
    }
}
