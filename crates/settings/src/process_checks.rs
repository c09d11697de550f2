//! Checks of parsed settings: invalid values and contradictions between fields.

use std::collections::BTreeMap;

use crate::fault::FaultCollector;
use crate::fault::FieldFault;
use crate::process::Keys;
use crate::process::Listen;
use crate::process::RequestLimits;
use crate::process::Settings;
use crate::process::Timeouts;
use crate::tree::FieldPath;

/// Smallest limit on a request's head, in bytes; enough for all headers of the caller interface.
const HEADER_MIN_BYTES: u64 = 1_024;
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// All faults of the settings.
pub(crate) fn check_settings(settings: &Settings) -> Vec<FieldFault> {
    let root = FieldPath::default();
    let mut collector = FaultCollector::default();
    for (field, name) in [("host", &settings.host), ("data_centre", &settings.data_centre)] {
        let holds = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
        let expected = "a name of printable ASCII characters without spaces";
        collector.require(holds, root.key(field), format!("'{name}'"), expected);
    }
    check_listen(&settings.listen, &mut collector);
    for (index, seed) in settings.seeds.iter().enumerate() {
        let holds = seed.address != settings.advertise;
        collector.require(
            holds,
            root.key("seeds").index(index).key("address"),
            seed.address,
            "another entry host's address",
        );
    }
    check_keys(&settings.keys, &mut collector);
    check_timeouts(&settings.timeouts, &mut collector);
    check_limits(&settings.limits, &mut collector);
    check_log(&settings.log, &mut collector);
    collector.faults
}

/// Reports listeners that share an address, unless the operating system assigns the port.
fn check_listen(listen: &Listen, collector: &mut FaultCollector) {
    let path = FieldPath::default().key("listen");
    let fields =
        [("callers", listen.callers), ("operators", listen.operators), ("peers", listen.peers)];
    for (index, (field, address)) in fields.iter().enumerate() {
        let taken = fields[..index].iter().find(|(_, other)| other == address);
        if let Some((other, _)) = taken.filter(|_| address.port() != 0) {
            let expected = format!("an address other than that of listen.{other}");
            collector.report(path.key(field), address, &expected);
        }
    }
}

fn check_keys(keys: &Keys, collector: &mut FaultCollector) {
    let path = FieldPath::default().key("keys");
    if keys.previous_session.as_ref() == Some(&keys.session) {
        let expected = "a key other than keys.session";
        collector.report(path.key("previous_session"), "the same key", expected);
    }
    let operators = path.key("operators");
    let mut owners = BTreeMap::from([(keys.peer.expose(), "keys.peer".to_owned())]);
    for (name, key) in &keys.operators {
        let path = operators.key(name);
        if let Some(owner) = owners.insert(key.expose(), path.to_string()) {
            collector.report(path, format!("the same key as {owner}"), "a key of its own");
        }
    }
}

fn check_timeouts(timeouts: &Timeouts, collector: &mut FaultCollector) {
    let path = FieldPath::default().key("timeouts");
    let fields = [
        ("connect", timeouts.connect),
        ("head", timeouts.head),
        ("idle", timeouts.idle),
        ("probe", timeouts.probe),
        ("request_read", timeouts.request_read),
        ("stop", timeouts.stop),
    ];
    for (field, time) in fields {
        collector.require(!time.is_zero(), path.key(field), "a zero duration", "more than 0ms");
    }
    if timeouts.connect >= timeouts.head {
        let expected = format!("less than timeouts.head, {}ms", timeouts.head.as_millis());
        let found = format!("{}ms", timeouts.connect.as_millis());
        collector.report(path.key("connect"), found, &expected);
    }
}

fn check_limits(limits: &RequestLimits, collector: &mut FaultCollector) {
    let path = FieldPath::default().key("limits");
    let header = limits.header_bytes;
    let expected = "at least 1024 bytes";
    collector.require(header >= HEADER_MIN_BYTES, path.key("header_bytes"), header, expected);
    let body = limits.body_bytes;
    collector.require(body > 0, path.key("body_bytes"), body, "at least one byte");
    let requests = limits.concurrent_requests;
    collector.require(requests > 0, path.key("concurrent_requests"), requests, "at least one");
    let streams = limits.concurrent_streams;
    if streams == 0 || streams > requests {
        let expected = format!("1 to {requests}, the limit on concurrent requests");
        collector.report(path.key("concurrent_streams"), streams, &expected);
    }
}

/// Checks the log directives: `level` or `module=level`, separated by commas.
fn check_log(log: &str, collector: &mut FaultCollector) {
    for directive in log.split(',') {
        let level = directive.rsplit('=').next().unwrap_or_default().trim();
        let holds = LOG_LEVELS.contains(&level.to_ascii_lowercase().as_str());
        let expected = format!("a level among {}", LOG_LEVELS.join(", "));
        collector.require(
            holds,
            FieldPath::default().key("log"),
            format!("'{directive}'"),
            &expected,
        );
    }
}
