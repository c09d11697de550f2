//! Broken variants of the examples: each fault names its line, its field and what was found.

use std::fs;
use std::path::Path;

use foxtailhoist_settings::Fault;
use foxtailhoist_settings::Faults;
use foxtailhoist_settings::load_settings;
use foxtailhoist_settings::parse_configuration;
use foxtailhoist_settings::parse_settings;
use rstest::rstest;

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/merrimack").join(name);
    fs::read_to_string(path).unwrap()
}

/// The example with one text replaced, and the line of the replacement.
fn broken(name: &str, from: &str, to: &str) -> (String, u64) {
    let text = example(name);
    let at = text.find(from).unwrap_or_else(|| panic!("{name} does not contain {from:?}"));
    let line = text[..at].matches('\n').count() as u64 + 1;
    (text.replacen(from, to, 1), line)
}

fn assert_single(faults: Faults, line: u64, field: &str, found: &str, expected: &str) {
    let [fault] = faults.faults.as_slice() else { panic!("one fault expected, not\n{faults}") };
    assert_eq!((fault.line, fault.field.as_str()), (line, field), "{fault}");
    assert!(fault.found.contains(found), "{fault}");
    assert!(fault.expected.contains(expected), "{fault}");
    assert!(fault.to_string().starts_with(&format!("broken.yaml:{line}: {field}: found ")));
}

#[rstest]
#[case::unknown_section("log: info", "logs: info", "logs", "unknown field 'logs'", "one of host")]
#[case::unknown_field(
    "  idle: 10s",
    "  idel: 10s",
    "timeouts.idel",
    "unknown field 'idel'",
    "one of connect"
)]
#[case::bare_number(
    "connect: 1s",
    "connect: 1000",
    "timeouts.connect",
    "1000 without a unit",
    "ms, s, m or h"
)]
#[case::wrong_unit("connect: 1s", "connect: 1sec", "timeouts.connect", "'1sec'", "ms, s, m or h")]
#[case::fraction("connect: 1s", "connect: 0.5s", "timeouts.connect", "'0.5s'", "a whole number")]
#[case::zero_duration("idle: 10s", "idle: 0ms", "timeouts.idle", "a zero duration", "more than")]
#[case::host_name(
    "object_api: 127.0.0.1:9000",
    "object_api: store.local:9000",
    "platform.object_api",
    "store.local",
    "an IP address"
)]
#[case::missing_port(
    "callers: 127.0.0.1:8080",
    "callers: 127.0.0.1",
    "listen.callers",
    "127.0.0.1",
    "a port"
)]
#[case::same_address(
    "operators: 127.0.0.1:8081",
    "operators: 127.0.0.1:8080",
    "listen.operators",
    "127.0.0.1:8080",
    "listen.callers"
)]
#[case::unreachable(
    "advertise: 127.0.0.1:8082",
    "advertise: 0.0.0.0:8082",
    "advertise",
    "0.0.0.0",
    "peers can connect"
)]
#[case::seed("127.0.0.1:8282", "nobody", "seeds[1].address", "nobody", "an IP address")]
#[case::own_seed("127.0.0.1:8282", "127.0.0.1:8082", "seeds[1].address", "8082", "another")]
#[case::short_key(
    "inline: merrimack-operator-key-anna",
    "inline: short",
    "keys.operators.anna",
    "5 bytes",
    "at least 16"
)]
#[case::unset_variable(
    "inline: merrimack-operator-key-anna",
    "env: FOXTAILHOIST_NOT_SET",
    "keys.operators.anna",
    "not set",
    "a key"
)]
#[case::missing_file(
    "inline: merrimack-operator-key-anna",
    "file: /nonexistent/key",
    "keys.operators.anna",
    "cannot be read",
    "a key"
)]
#[case::same_key(
    "inline: merrimack-operator-key-bertil",
    "inline: merrimack-operator-key-anna",
    "keys.operators.bertil",
    "same key",
    "its own"
)]
#[case::previous_key(
    "inline: merrimack-previous-session-key",
    "inline: merrimack-session-key-for-development",
    "keys.previous_session",
    "same key",
    "other than"
)]
#[case::streams(
    "concurrent_streams: 4096",
    "concurrent_streams: 9000",
    "limits.concurrent_streams",
    "9000",
    "1 to 8192"
)]
#[case::negative("body_bytes: 16777216", "body_bytes: -1", "limits.body_bytes", "-1", "u64")]
#[case::head("connect: 1s", "connect: 5s", "timeouts.connect", "5000ms", "timeouts.head")]
#[case::log("log: info", "log: loud", "log", "loud", "a level among")]
#[case::tls("log: info", "tls: { certificate: a.pem }\nlog: info", "tls", "nothing", "'key'")]
fn broken_settings_are_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] found: &str,
    #[case] expected: &str,
) {
    let (text, line) = broken("settings.yaml", from, to);
    let faults = parse_settings("broken.yaml", &text).unwrap_err();
    assert_single(faults, line, field, found, expected);
}

// A missing field or section is reported at the line of the map that should contain it.
#[rstest]
#[case::field("  rating: 127.0.0.1:9002\n", "platform:", "platform", "nothing", "'rating'")]
#[case::section("host: nashua-1\n", "data_centre:", "host", "nothing", "a value")]
#[case::second_operator(
    "    bertil: { inline: merrimack-operator-key-bertil }\n",
    "  operators:\n",
    "keys.operators",
    "1",
    "at least 2"
)]
fn missing_settings_are_refused(
    #[case] removed: &str,
    #[case] holder: &str,
    #[case] field: &str,
    #[case] found: &str,
    #[case] expected: &str,
) {
    let text = example("settings.yaml").replacen(removed, "", 1);
    let at = text.find(holder).unwrap();
    let line = text[..at].matches('\n').count() as u64 + 1;
    let faults = parse_settings("broken.yaml", &text).unwrap_err();
    assert_single(faults, line, field, found, expected);
}

#[rstest]
#[case::unknown_preset(
    "preset: ordinary",
    "preset: ordnary",
    "preset",
    "'ordnary'",
    "maintenance, ordinary, peak"
)]
#[case::unknown_section("services:", "service:", "service", "unknown field", "one of")]
#[case::unknown_workspace(
    "      baker-help:",
    "      baker-hlep:",
    "presets.ordinary.allowed.baker-hlep",
    "baker-hlep",
    "a workspace among"
)]
#[case::unknown_model(
    "baker-help: [levain-small,",
    "baker-help: [levain-tiny,",
    "presets.ordinary.allowed.baker-help[levain-tiny]",
    "levain-tiny",
    "a model among"
)]
#[case::no_models(
    "baker-help: [levain-small, levain-mid, levain-large]",
    "baker-help: []",
    "presets.ordinary.allowed.baker-help",
    "no models",
    "at least one"
)]
#[case::model_of_version(
    "levain-mid@v2:",
    "levain-mdi@v2:",
    "versions.levain-mdi@v2",
    "levain-mdi",
    "a model among"
)]
#[case::version_shape(
    "levain-mid@v2:",
    "levain-mid:",
    "versions.levain-mid",
    "not of the form model@version",
    ""
)]
#[case::stage(
    "levain-mid@v2: { stage: registered }",
    "levain-mid@v2: { stage: retired }",
    "versions.levain-mid@v2.stage",
    "'retired'",
    "one of registered"
)]
#[case::weight("weight: 8", "weight: -1", "workspaces.baker-help.weight", "-1", "above 0")]
#[case::infinite("weight: 8", "weight: .inf", "(document)", "non-finite", "valid YAML")]
#[case::priority(
    "priority: urgent",
    "priority: high",
    "workspaces.baker-help.priority",
    "'high'",
    "one of batch, normal, urgent"
)]
#[case::price(
    "price_in: 0.1",
    "price_in: -0.1",
    "models.levain-small.price_in",
    "-0.1",
    "0 or more"
)]
#[case::price_text(
    "price_in: 0.1",
    "price_in: cheap",
    "models.levain-small.price_in",
    "cheap",
    "f64"
)]
#[case::quality(
    "below_best: 0.01",
    "below_best: 1.5",
    "presets.ordinary.quality.below_best",
    "1.5",
    "0 to 1"
)]
#[case::quality_kind(
    "below_best: 0.01",
    "below: 0.01",
    "presets.ordinary.quality",
    "'below'",
    "below_best, at_least"
)]
#[case::share(
    "share: 0.05, callers: 100",
    "share: 0.001, callers: 100",
    "presets.ordinary.rollout.steps[1].share",
    "0.001",
    "at least 0.01"
)]
#[case::callers(
    "share: 0.05, callers: 100",
    "share: 0.05, callers: 10",
    "presets.ordinary.rollout.steps[1].callers",
    "10",
    "at least 20"
)]
#[case::step_field(
    "callers: 100,",
    "caller: 100,",
    "presets.ordinary.rollout.steps[1].caller",
    "unknown field",
    "share, callers"
)]
#[case::retry_share(
    "retry_share: 0.1",
    "retry_share: 10",
    "presets.ordinary.limits.retry_share",
    "10",
    "0 to 1"
)]
#[case::deadline(
    "default_deadline_ms: 20000",
    "default_deadline_ms: 500",
    "presets.ordinary.limits.first_token_ms",
    "640",
    "1 to 500"
)]
#[case::queue("queue: 1024", "queue: 0", "presets.ordinary.limits.queue", "0", "at least one")]
#[case::name(
    "  newsletter:\n",
    "  news letter:\n",
    "workspaces.news letter",
    "'news letter'",
    "letters, digits"
)]
#[case::canary(
    "levain-mid@v2: { stage: registered }",
    "levain-mid@v2: { stage: { canary: { step: 7, share: 0.01, quotas: {} } } }",
    "versions.levain-mid@v2.stage.canary.step",
    "7",
    "below 3"
)]
#[case::quotas(
    "levain-mid@v2: { stage: registered }",
    "levain-mid@v2: { stage: { canary: { step: 0, share: 0.01, quotas: { a: 15, b: 6 } } } }",
    "versions.levain-mid@v2.stage.canary.quotas",
    "21",
    "at most 20"
)]
fn broken_configurations_are_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] found: &str,
    #[case] expected: &str,
) {
    let (text, line) = broken("configuration.yaml", from, to);
    let faults = parse_configuration("broken.yaml", &text).unwrap_err();
    let fault = faults.faults.iter().find(|fault| fault.field == field);
    let fault = fault.unwrap_or_else(|| panic!("no fault of {field} in\n{faults}"));
    // The replacement changes the deadline; the fault is in the field on the next line.
    let line = if field.ends_with("first_token_ms") { line + 1 } else { line };
    assert_eq!(fault.line, line, "{faults}");
    assert!(fault.found.contains(found) && fault.expected.contains(expected), "{faults}");
}

#[test]
fn a_digest_is_lower_case_hex_and_unique_to_a_workspace() {
    let text = example("configuration.yaml");
    let start = text.find("api_key_digests: [").unwrap() + "api_key_digests: [".len();
    let line = text[..start].lines().count() as u64;
    let digest = &text[start..start + 64];
    let upper = text.replacen(digest, &digest.to_uppercase(), 1);
    let faults = parse_configuration("broken.yaml", &upper).unwrap_err();
    let field = format!("workspaces.baker-help.api_key_digests[{}]", digest.to_uppercase());
    assert_single(faults, line, &field, "'", "64 lower-case hex digits");

    // 18 is the length of `api_key_digests: [`.
    let second = text[start..].find("api_key_digests: [").unwrap() + start + 18;
    let mut shared = text.clone();
    shared.replace_range(second..second + 64, digest);
    let faults = parse_configuration("broken.yaml", &shared).unwrap_err();
    assert!(faults.faults[0].found.contains("baker-help"), "{faults}");
}

#[test]
fn all_faults_are_reported_in_file_order() {
    let text = example("settings.yaml")
        .replace("callers: 127.0.0.1:8080", "callers: here")
        .replace("peers: 127.0.0.1:8082", "peers: there")
        .replace("idle: 10s", "idle: 10")
        .replace("stop: 2m", "stop: 2 minutes")
        .replace("header_bytes", "head_bytes");
    let faults = parse_settings("broken.yaml", &text).unwrap_err().faults;
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    let expected =
        ["listen.callers", "listen.peers", "timeouts.idle", "timeouts.stop", "limits.head_bytes"];
    assert_eq!(fields, expected);
}

#[rstest]
#[case::broken_yaml("host: [\n", 1)]
#[case::duplicate_key("host: a\nhost: b\n", 2)]
#[case::list("- a\n", 1)]
#[case::empty("", 1)]
fn malformed_documents_are_refused(#[case] text: &str, #[case] line: u64) {
    let faults = parse_configuration("broken.yaml", text).unwrap_err().faults;
    assert!(faults.iter().any(|fault| fault.line >= line), "{faults:?}");
    assert!(faults.iter().all(|fault| fault.file == "broken.yaml"));
}

#[rstest]
#[case::bare("peer: my-own-secret-in-the-open")]
#[case::number("peer: { inline: 1234567890123456 }")]
#[case::misspelt("peer: { inlin: my-own-secret-in-the-open }")]
#[case::spaced("peer: { inline: my own secret in the open }")]
fn a_refused_key_is_not_shown(#[case] key: &str) {
    let text = example("settings.yaml")
        .replace("peer: { inline: merrimack-peer-key-for-development }", key);
    let faults = parse_settings("broken.yaml", &text).unwrap_err();
    assert_eq!(faults.faults[0].field, "keys.peer");
    let shown = faults.to_string();
    assert!(!shown.contains("secret") && !shown.contains("123456"), "{shown}");
}

#[test]
fn a_missing_file_is_named() {
    let faults = load_settings(Path::new("/nonexistent/settings.yaml")).unwrap_err();
    let [Fault { file, line: 0, .. }] = faults.faults.as_slice() else { panic!("{faults}") };
    assert_eq!(file, "/nonexistent/settings.yaml");
}
