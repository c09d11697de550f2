//! Prints operator replies as text or JSON.

use std::collections::BTreeMap;

use foxtailhoist_host::operator::HostStatus;
use foxtailhoist_host::operator::OperatorReply;
use foxtailhoist_host::operator::UsageRow;
use foxtailhoist_host::operator::VersionStatus;
use foxtailhoist_model::ModelVersion;

use crate::failure::Failure;

/// Prints a reply.
///
/// # Errors
///
/// Fails when the reply cannot be serialized as JSON.
pub fn reply(reply: &OperatorReply, json: bool) -> Result<(), Failure> {
    if json {
        let text =
            serde_json::to_string_pretty(reply).map_err(|e| Failure::Failed(e.to_string()))?;
        println!("{text}");
        return Ok(());
    }
    match reply {
        OperatorReply::Presets { in_force, presets } => {
            for preset in presets {
                let marker = if preset == in_force { "* " } else { "  " };
                println!("{marker}{preset}");
            }
        }
        OperatorReply::Text { lines } => lines.iter().for_each(|line| println!("{line}")),
        OperatorReply::Applied { revision, change, detail, confirmed, unconfirmed } => {
            println!("revision {revision} is in force (change {change})");
            detail.iter().for_each(|line| println!("  {line}"));
            println!("confirmed by {}: {}", confirmed.len(), confirmed.join(" "));
            if !unconfirmed.is_empty() {
                println!("not confirmed by {}: {}", unconfirmed.len(), unconfirmed.join(" "));
            }
        }
        OperatorReply::Proposed { proposal, diff } => {
            println!(
                "proposal {proposal}; a second operator approves it with `config approve {proposal}`"
            );
            diff.iter().for_each(|line| println!("  {line}"));
        }
        OperatorReply::Approved { proposal } => {
            println!("approved; put it in force with `config apply {proposal}`");
        }
        OperatorReply::Versions { versions } => print_versions(versions),
        OperatorReply::Status(status) => print_status(status),
        OperatorReply::Usage { rows } => print_usage(rows),
    }
    Ok(())
}

fn print_versions(versions: &BTreeMap<ModelVersion, VersionStatus>) {
    for (model_version, status) in versions {
        let veto = if status.vetoed_here || status.record.vetoed { "  vetoed" } else { "" };
        println!("{model_version:<32} {:?}{veto}", status.record.stage);
    }
}

fn print_status(status: &HostStatus) {
    println!("host {} in {}", status.host, status.data_centre);
    println!(
        "revision {} preset {} confirmed {}",
        status.revision, status.preset, status.confirmed
    );
    println!(
        "stopping {} watcher {} leading roll-outs {}",
        status.stopping, status.watcher, status.leading_rollouts
    );
    println!("running {} backend servers {}", status.running, status.backend_servers);
    println!("invariant violations {}", status.invariant_violations);
    for (host, revision) in &status.hosts {
        println!("  {host:<16} revision {revision}");
    }
    for version in &status.vetoes {
        println!("  vetoed {version}");
    }
}

fn print_usage(rows: &[UsageRow]) {
    println!(
        "{:<16} {:<32} {:>10} {:>14} {:>14}",
        "workspace", "version", "answers", "tokens in", "tokens out"
    );
    for row in rows {
        let version =
            row.model_version.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string);
        println!(
            "{:<16} {version:<32} {:>10} {:>14} {:>14}",
            row.workspace, row.answers, row.prompt_tokens, row.output_tokens
        );
    }
}
