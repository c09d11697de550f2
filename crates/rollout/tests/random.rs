//! The invariants hold under random host pauses, store outages, ratings, vetoes and host replacements.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::Fleet;
use common::canary;
use common::host;
use common::settled;
use common::step_zero;
use foxtailhoist_model::Stage;
use foxtailhoist_rollout::event::Event;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Disturbance {
    Run { seconds: u64 },
    Pause { host: usize },
    Resume { host: usize },
    Store { up: bool },
    Replace { host: usize },
    Rate { good: u64, bad: u64 },
    Veto,
    Clear,
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        4 => (1..40_u64).prop_map(|seconds| Disturbance::Run { seconds }),
        1 => (0..3_usize).prop_map(|host| Disturbance::Pause { host }),
        1 => (0..3_usize).prop_map(|host| Disturbance::Resume { host }),
        1 => any::<bool>().prop_map(|up| Disturbance::Store { up }),
        1 => (0..3_usize).prop_map(|host| Disturbance::Replace { host }),
        3 => (0..40_u64, 0..4_u64).prop_map(|(good, bad)| Disturbance::Rate { good, bad }),
        1 => Just(Disturbance::Veto),
        1 => Just(Disturbance::Clear),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn stages_are_fenced_and_quotas_bounded(disturbances in prop::collection::vec(disturbance(), 1..40)) {
        let mut fleet = Fleet::new(&["a-0", "b-0", "c-0"], step_zero());
        fleet.rate(&settled(), 180, 20);
        let (mut good, mut bad, mut epoch, mut starts) = (0, 0, 0, 0);
        for disturbance in disturbances {
            let name = |index: usize| fleet.hosts.keys().nth(index).cloned().unwrap_or_default();
            match disturbance {
                Disturbance::Run { seconds } => fleet.run(Duration::from_secs(seconds)),
                Disturbance::Pause { host } => {
                    let name = name(host);
                    fleet.paused.insert(name);
                }
                Disturbance::Resume { host } => {
                    let name = name(host);
                    fleet.paused.remove(&name);
                    fleet.announce_hosts();
                    fleet.announce_configuration();
                }
                Disturbance::Store { up } => fleet.store_up = up,
                Disturbance::Replace { host: index } => {
                    let old = name(index);
                    starts += 1;
                    let new = format!("{}-{starts}", &old[..1]);
                    fleet.hosts.remove(&old);
                    fleet.leaders.remove(&old);
                    fleet.hosts.insert(new.clone(), host(&new));
                    fleet.announce_hosts();
                    fleet.announce_configuration();
                }
                Disturbance::Rate { good: more_good, bad: more_bad } => {
                    good += more_good;
                    bad += more_bad;
                    fleet.rate(&canary(), good, bad);
                }
                Disturbance::Veto => {
                    fleet.broadcast(&Event::Vetoed { model_version: canary(), epoch });
                }
                Disturbance::Clear => {
                    epoch += 1;
                    fleet.broadcast(&Event::VetoCleared { model_version: canary(), epoch });
                }
            }
        }
        check_requests(&fleet);
    }
}

/// Checks that each requested canary stage is within its step's bound and that each fencing number belongs to one
/// host. Violations of the hosts' own invariants panic during the run.
fn check_requests(fleet: &Fleet) {
    let bounds = [10, 60];
    for request in &fleet.requests {
        if let Stage::Canary { step, quotas, .. } = &request.stage {
            assert!(quotas.values().sum::<u32>() <= bounds[*step], "{request:?}");
        }
    }
    let mut holders = BTreeMap::new();
    for request in &fleet.requests {
        let holder = holders.entry(request.fencing).or_insert(&request.host);
        assert_eq!(*holder, &request.host, "two hosts used fencing number {}", request.fencing);
    }
}
