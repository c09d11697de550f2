//! Timeline of one request from the logs of two hosts.

use std::time::Duration;

use foxtailhoist_report::timeline::HostLogs;

const FIRST: &str = "\
time=2026-04-19T07:06:50.000+00:00 level=info target=x event=started host=host-1 data_centre=a
time=2026-04-19T07:06:50.645+00:00 level=info target=x event=configured version=3 routes=17
time=2026-04-19T07:06:51.000+00:00 level=info target=x event=server id=i-1 change=Added
time=2026-04-19T07:06:52.000+00:00 level=info target=x event=server_limited id=i-1 per_second=2.5 source=own
time=2026-04-19T07:06:53.000+00:00 level=info target=x event=server_limited id=i-1 per_second=none source=peer
time=2026-04-19T07:06:53.000+00:00 level=info target=x event=server_limited id=i-2 per_second=1 source=own
time=2026-04-19T07:06:59.000+00:00 level=info target=x event=configured version=4 routes=17
time=2026-04-19T07:06:55.000+00:00 level=info target=x event=attempt_ended request=abc server=i-1 outcome=Broken reason=\"connection closed request=x\"
time=2026-04-19T07:06:56.000+00:00 level=info target=x event=answered request=abc server=i-2 status=200
";
const SECOND: &str = "\
    3.1 host-2 time=2026-04-19T07:06:54.000+00:00 level=info target=x event=store_lost kind=Servers reason=\"x\"
    3.2 host-2 time=2026-04-19T07:06:54.500+00:00 level=info target=x event=refused request=abc kind=no_server
    3.2 host-2 time=2026-04-19T07:06:54.600+00:00 level=info target=x event=refused request=abd kind=no_server
not a log line
";

#[test]
fn lines_of_all_hosts_are_sorted_by_time_with_the_state_each_host_knew() {
    let mut logs = HostLogs::default();
    logs.add_log("first.log", FIRST);
    logs.add_log("second.log", SECOND);
    let steps = logs.request_timeline("abc");
    let hosts: Vec<&str> = steps.iter().map(|step| step.host.as_str()).collect();
    assert_eq!(hosts, ["host-2", "host-1", "host-1"]);
    assert_eq!(steps[1].since, Duration::from_millis(500));
    assert!(steps[0].known_states[0].text.starts_with("event=store_lost"));
    assert_eq!(steps[0].known_states[0].age, Duration::from_millis(500));
    let known_states: Vec<&str> =
        steps[1].known_states.iter().map(|state| state.text.as_str()).collect();
    assert_eq!(
        known_states,
        [
            "event=configured version=3 routes=17",
            "event=server id=i-1 change=Added",
            "event=server_limited id=i-1 per_second=none source=peer"
        ]
    );
    assert_eq!(steps[1].known_states[0].age, Duration::from_millis(4_355));
    assert!(steps[2].text.starts_with("event=answered"));
    assert!(steps[2].known_states.iter().all(|state| !state.text.contains("i-1")));
    assert!(logs.request_timeline("unknown").is_empty());
}
