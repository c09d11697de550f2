//! Reads and checks the operators' configuration.
//!
//! [`check_configuration`] needs no file, so that a configuration from another source passes the same checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::Limits;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Preset;
use foxtailhoist_model::PresetId;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_model::RolloutPolicy;
use foxtailhoist_model::Stage;
use foxtailhoist_model::VersionRecord;

use crate::fault::FaultCollector;
use crate::fault::Faults;
use crate::fault::FieldFault;
use crate::source::Source;
use crate::source::read_file;
use crate::tree::FieldPath;

const SECTIONS: [&str; 7] =
    ["revision", "preset", "presets", "workspaces", "models", "versions", "services"];
/// Hex digits of a SHA-256 digest.
const DIGEST_HEX_DIGITS: usize = 64;
/// Longest name of a preset, workspace, model, version, service or path segment, in bytes.
const NAME_LIMIT_BYTES: usize = 64;
const NAME_EXPECTED: &str = "1 to 64 letters, digits, '.', '_' or '-'";
const SHARE_EXPECTED: &str = "a share from 0 to 1";

/// Reads and checks a configuration file.
///
/// # Errors
///
/// Returns every fault found, with its line.
pub fn load_configuration(path: &Path) -> Result<Configuration, Faults> {
    parse_configuration(&path.display().to_string(), &read_file(path)?)
}

/// Reads and checks a configuration; `file` names it in faults.
///
/// # Errors
///
/// Returns every fault found, with its line.
pub fn parse_configuration(file: &str, text: &str) -> Result<Configuration, Faults> {
    let mut source = Source::parse(file, text)?;
    source.report_unknown_sections(&SECTIONS);
    let preset: Option<PresetId> = source.section("preset");
    let configuration = Configuration {
        revision: source.optional_section("revision").unwrap_or_default(),
        preset: preset.unwrap_or_default(),
        presets: source.entries("presets"),
        workspaces: source.entries("workspaces"),
        models: source.entries("models"),
        versions: source.entries("versions"),
        services: source.entries("services"),
    };
    // Unreadable entries are missing here, and checks across sections would report each of them a second time.
    if source.has_faults() {
        return Err(source.into_faults());
    }
    source.report_all(check_configuration(&configuration));
    source.report_all(check_canaries(&configuration));
    if source.has_faults() { Err(source.into_faults()) } else { Ok(configuration) }
}

/// All faults of a configuration.
#[must_use]
pub fn check_configuration(configuration: &Configuration) -> Vec<FieldFault> {
    let root = FieldPath::default();
    let mut collector = FaultCollector::default();
    collector.require(
        configuration.presets.contains_key(&configuration.preset),
        root.key("preset"),
        format!("'{}'", configuration.preset),
        &expected_name("preset", configuration.presets.keys()),
    );
    check_names(configuration, &mut collector);
    check_workspaces(configuration, &mut collector);
    check_models(configuration, &mut collector);
    for (name, preset) in &configuration.presets {
        let path = root.key("presets").key(name);
        check_allowed(configuration, preset, &path.key("allowed"), &mut collector);
        check_preset(preset, &path, &mut collector);
    }
    check_versions(configuration, &mut collector);
    collector.faults
}

fn check_names(configuration: &Configuration, collector: &mut FaultCollector) {
    let root = FieldPath::default();
    let mut check = |section: &str, name: &String| {
        let path = root.key(section).key(name);
        collector.require(is_name(name), path, format!("'{name}'"), NAME_EXPECTED);
    };
    configuration.presets.keys().for_each(|name| check("presets", name));
    configuration.workspaces.keys().for_each(|name| check("workspaces", name));
    configuration.models.keys().for_each(|name| check("models", name));
    configuration.services.keys().for_each(|name| check("services", name));
    for (name, service) in &configuration.services {
        for segment in &service.idempotent_paths {
            let path = root.key("services").key(name).key("idempotent_paths");
            collector.require(
                is_name(segment),
                path.item(segment),
                format!("'{segment}'"),
                NAME_EXPECTED,
            );
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=NAME_LIMIT_BYTES).contains(&name.len()) && name.bytes().all(is_plain)
}

fn check_workspaces(configuration: &Configuration, collector: &mut FaultCollector) {
    let mut owners = BTreeMap::new();
    for (name, workspace) in &configuration.workspaces {
        let path = FieldPath::default().key("workspaces").key(name);
        let weight = workspace.weight;
        let weight_holds = weight.is_finite() && weight > 0.0;
        collector.require(weight_holds, path.key("weight"), weight, "a number above 0");
        let digests = path.key("api_key_digests");
        if workspace.api_key_digests.is_empty() {
            collector.report(digests.clone(), "an empty list", "at least one digest");
        }
        for digest in &workspace.api_key_digests {
            let found = format!("'{digest}'");
            let expected = "64 lower-case hex digits: the SHA-256 of an API key";
            collector.require(is_digest(digest), digests.item(digest), found, expected);
            if let Some(owner) = owners.insert(digest, name) {
                let found = format!("a digest that workspace '{owner}' also has");
                collector.report(digests.item(digest), found, "a key of one workspace only");
            }
        }
    }
}

fn is_digest(text: &str) -> bool {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_HEX_DIGITS && text.bytes().all(is_hex)
}

fn check_models(configuration: &Configuration, collector: &mut FaultCollector) {
    for (name, model) in &configuration.models {
        let path = FieldPath::default().key("models").key(name);
        for (field, price) in [("price_in", model.price_in), ("price_out", model.price_out)] {
            let holds = price.is_finite() && price >= 0.0;
            collector.require(holds, path.key(field), price, "a price of 0 or more");
        }
    }
}

fn check_allowed(
    configuration: &Configuration,
    preset: &Preset,
    path: &FieldPath,
    collector: &mut FaultCollector,
) {
    let versioned: BTreeSet<_> =
        configuration.versions.keys().map(|version| &version.model).collect();
    for (workspace, models) in &preset.allowed {
        let path = path.key(workspace);
        collector.require(
            configuration.workspaces.contains_key(workspace),
            path.clone(),
            format!("'{workspace}'"),
            &expected_name("workspace", configuration.workspaces.keys()),
        );
        if models.is_empty() {
            collector.report(path.clone(), "no models", "at least one, or no entry at all");
        }
        for model in models {
            if !configuration.models.contains_key(model) {
                let expected = expected_name("model", configuration.models.keys());
                collector.report(path.item(model), format!("'{model}'"), &expected);
            } else if !versioned.contains(model) {
                let expected = format!("a version '{model}@...' under 'versions'");
                collector.report(path.item(model), format!("'{model}'"), &expected);
            }
        }
    }
}

fn check_preset(preset: &Preset, path: &FieldPath, collector: &mut FaultCollector) {
    for class in &preset.cheaper_for {
        let holds = !class.trim().is_empty();
        let path = path.key("cheaper_for").item(class);
        collector.require(holds, path, "an empty text", "the name of a task class");
    }
    let (kind, share) = match preset.quality {
        QualityTarget::BelowBest(share) => ("below_best", share),
        QualityTarget::AtLeast(share) => ("at_least", share),
    };
    collector.require(is_share(share), path.key("quality").key(kind), share, SHARE_EXPECTED);
    check_rollout(&preset.rollout, &path.key("rollout").key("steps"), collector);
    check_limits(&preset.limits, &path.key("limits"), collector);
}

fn check_rollout(policy: &RolloutPolicy, path: &FieldPath, collector: &mut FaultCollector) {
    if policy.steps.is_empty() {
        collector.report(path.clone(), "an empty list", "at least one step");
    }
    for (index, step) in policy.steps.iter().enumerate() {
        let holds = is_share(step.share) && step.share > 0.0;
        let share_path = path.index(index).key("share");
        collector.require(holds, share_path, step.share, "a share above 0 and at most 1");
        let callers_path = path.index(index).key("callers");
        collector.require(step.callers > 0, callers_path, step.callers, "at least one caller");
    }
    for (index, pair) in policy.steps.windows(2).enumerate() {
        let [step, next] = pair else { continue };
        let path = path.index(index + 1);
        if next.share < step.share {
            let expected = format!("at least {}, the share of the step before", step.share);
            collector.report(path.key("share"), next.share, &expected);
        }
        if next.callers < step.callers {
            let expected = format!("at least {}, the callers of the step before", step.callers);
            collector.report(path.key("callers"), next.callers, &expected);
        }
    }
}

fn check_limits(limits: &Limits, path: &FieldPath, collector: &mut FaultCollector) {
    let retry_share = path.key("retry_share");
    collector.require(
        is_share(limits.retry_share),
        retry_share,
        limits.retry_share,
        SHARE_EXPECTED,
    );
    collector.require(limits.queue > 0, path.key("queue"), limits.queue, "at least one request");
    let deadline = limits.default_deadline_ms;
    let deadline_path = path.key("default_deadline_ms");
    collector.require(deadline > 0, deadline_path, deadline, "at least one millisecond");
    let first_token = limits.first_token_ms;
    if first_token == 0 || first_token > deadline {
        let expected = format!("1 to {deadline}, the default deadline");
        collector.report(path.key("first_token_ms"), first_token, &expected);
    }
}

fn check_versions(configuration: &Configuration, collector: &mut FaultCollector) {
    for (version, record) in &configuration.versions {
        let path = FieldPath::default().key("versions").key(&version.to_string());
        if !configuration.models.contains_key(&version.model) {
            let expected = expected_name("model", configuration.models.keys());
            collector.report(path.clone(), format!("model '{}'", version.model), &expected);
        }
        let holds = is_name(&version.version);
        collector.require(holds, path.clone(), format!("'{}'", version.version), NAME_EXPECTED);
        if let Stage::Canary { share, .. } = &record.stage {
            let path = path.key("stage").key("canary").key("share");
            collector.require(is_share(*share), path, share, SHARE_EXPECTED);
        }
    }
}

/// Checks that the canaries in a file are within their step of the preset in force. This is not part of
/// [`check_configuration`]: a preset can be switched during a roll-out, and the controller then brings the canary
/// within the new steps.
fn check_canaries(configuration: &Configuration) -> Vec<FieldFault> {
    let mut collector = FaultCollector::default();
    let Some(preset) = configuration.preset_in_force() else { return collector.faults };
    for (version, record) in &configuration.versions {
        let path = FieldPath::default().key("versions").key(&version.to_string());
        let path = path.key("stage").key("canary");
        check_canary(version, record, &preset.rollout, &path, &mut collector);
    }
    collector.faults
}

fn check_canary(
    version: &ModelVersion,
    record: &VersionRecord,
    policy: &RolloutPolicy,
    path: &FieldPath,
    collector: &mut FaultCollector,
) {
    let Stage::Canary { step: index, share, quotas } = &record.stage else { return };
    let Some(step) = policy.steps.get(*index) else {
        let expected = format!("a step below {}, as in the preset in force", policy.steps.len());
        collector.report(path.key("step"), index, &expected);
        return;
    };
    let share_holds = *share <= step.share;
    let expected = format!("0 to {}, the share of step {index}", step.share);
    collector.require(share_holds, path.key("share"), share, &expected);
    let callers: u64 = quotas.values().copied().map(u64::from).sum();
    let expected = format!("at most {} in all, the callers of step {index}", step.callers);
    let found = format!("{callers} callers of {version}");
    collector.require(callers <= u64::from(step.callers), path.key("quotas"), found, &expected);
}

fn is_share(share: f64) -> bool {
    (0.0..=1.0).contains(&share)
}

fn expected_name<'a>(kind: &str, names: impl Iterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return format!("a {kind}, but none is defined");
    }
    format!("a {kind} among {}", names.join(", "))
}
