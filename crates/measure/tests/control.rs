//! Control-plane cost stays within a host's budget at the sizes that a debug build can run.

use std::time::Duration;

use foxtailhoist_measure::control;
use foxtailhoist_measure::control::ControlConfig;

/// Maximum control traffic of a host in each direction.
const MAX_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;
/// Maximum time until a change is in force on all hosts.
const MAX_PROPAGATION_SECONDS: f64 = 3.0;

#[test]
fn traffic_and_propagation_are_within_the_budget_up_to_48_hosts() {
    let cfg = ControlConfig {
        sizes: vec![6, 48],
        duration: Duration::from_secs(16),
        ..ControlConfig::default()
    };
    let report = control::run(&cfg);
    for size in &report.sizes {
        assert!(size.watchers.sent_max < MAX_BYTES_PER_SECOND, "{report}");
        assert!(size.watchers.received_max < MAX_BYTES_PER_SECOND, "{report}");
        assert!(size.ordinary.sent_max < MAX_BYTES_PER_SECOND, "{report}");
        for propagation in [&size.configuration, &size.configuration_from_one, &size.veto] {
            assert!(propagation.max < MAX_PROPAGATION_SECONDS, "{report}");
        }
        assert_eq!(size.watches, 2 * size.data_centres);
    }
}

#[test]
fn the_same_seed_gives_the_same_traffic() {
    let cfg = ControlConfig {
        sizes: vec![12],
        warm_up: Duration::from_secs(5),
        duration: Duration::from_secs(8),
        ..ControlConfig::default()
    };
    let bytes = |_| control::run(&cfg).sizes[0].watchers.sent_max;
    assert_eq!(bytes(1).to_bits(), bytes(2).to_bits());
}
