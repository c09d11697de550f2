//! Makes the service-level burn report of the fleet: this host's metrics and those of every other entry host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::QualityTarget;
use foxtailhoist_report::Coverage;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::Objectives;
use foxtailhoist_report::Report;
use foxtailhoist_report::WorkspaceObjectives;
use futures::StreamExt;
use futures::stream;

use crate::Edges;
use crate::shell::Shell;

/// Longest wait for one host's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);
/// Hosts that are asked at the same time.
const CONCURRENT_FETCHES: usize = 16;

/// Builds the report of the fleet. Known hosts that do not answer in time are named in it.
pub async fn fleet_report(shell: &Shell) -> Report {
    let now = SystemTime::now();
    let mut fleet = Metrics::for_fleet();
    fleet.merge(&shell.recorder().metrics(), now);
    let mut coverage = Coverage { answered: vec![shell.host().clone()], unanswered: Vec::new() };
    let edges = shell.edges();
    let fetches = stream::iter(peers(shell)).map(|(host, address)| async move {
        let metrics = fetch(edges, address).await;
        (host, metrics)
    });
    let mut fetched = fetches.buffer_unordered(CONCURRENT_FETCHES);
    while let Some((host, metrics)) = fetched.next().await {
        match metrics {
            Some(metrics) => {
                fleet.merge(&metrics, now);
                coverage.answered.push(host);
            }
            None => coverage.unanswered.push(host),
        }
    }
    coverage.answered.sort();
    coverage.unanswered.sort();
    let objectives = shell.configuration().as_deref().map(objectives).unwrap_or_default();
    Report::build(&fleet, &objectives, now).with_coverage(coverage)
}

/// Other entry hosts: those alive, and those that the host list shows though no peer reaches them.
fn peers(shell: &Shell) -> BTreeMap<EntryHostId, SocketAddr> {
    let mut peers = shell.listed_entry_hosts();
    peers.extend(shell.members().into_iter().map(|member| (member.host, member.address)));
    peers.remove(shell.host());
    peers
}

async fn fetch(edges: &Edges, address: SocketAddr) -> Option<Metrics> {
    let body = tokio::time::timeout(METRICS_TIMEOUT, edges.peers.metrics(address)).await;
    match body {
        Ok(Ok(body)) => rmp_serde::from_slice(&body).ok(),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Objectives under the preset in force: an absolute quality target stands for the default.
fn objectives(configuration: &Configuration) -> Objectives {
    let mut standard = WorkspaceObjectives::default();
    if let Some(QualityTarget::AtLeast(share)) =
        configuration.preset_in_force().map(|preset| preset.quality)
    {
        standard.quality = share;
    }
    Objectives { standard, workspaces: BTreeMap::new() }
}
