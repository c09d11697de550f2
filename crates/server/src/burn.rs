//! Builds the service-level burn report of the fleet from the metrics of this host and of every other entry host.

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

use crate::Clients;
use crate::driver::Driver;

/// Timeout for fetching one host's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of hosts queried concurrently.
const CONCURRENT_FETCHES: usize = 16;

/// Builds the report of the fleet. It names the known hosts that do not answer in time.
pub async fn fleet_report(driver: &Driver) -> Report {
    let now = SystemTime::now();
    let mut fleet = Metrics::for_fleet();
    fleet.merge(&driver.recorder().metrics(), now);
    let mut coverage =
        Coverage { answered: vec![driver.host_id().clone()], unanswered: Vec::new() };
    let clients = driver.clients();
    let fetches = stream::iter(other_entry_hosts(driver)).map(|(host, address)| async move {
        let metrics = fetch_metrics(clients, address).await;
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
    let objectives = driver.configuration().as_deref().map(objectives).unwrap_or_default();
    Report::build(&fleet, &objectives, now).with_coverage(coverage)
}

/// Addresses of the other entry hosts: the live members, and all hosts on the host list, even if no peer reaches them.
fn other_entry_hosts(driver: &Driver) -> BTreeMap<EntryHostId, SocketAddr> {
    let mut peers = driver.listed_entry_hosts();
    peers.extend(driver.members().into_iter().map(|member| (member.host, member.address)));
    peers.remove(driver.host_id());
    peers
}

async fn fetch_metrics(clients: &Clients, address: SocketAddr) -> Option<Metrics> {
    let body = tokio::time::timeout(METRICS_TIMEOUT, clients.peers.metrics(address)).await;
    match body {
        Ok(Ok(body)) => rmp_serde::from_slice(&body).ok(),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Objectives under the preset in force; an absolute quality target replaces the default.
fn objectives(configuration: &Configuration) -> Objectives {
    let mut standard = WorkspaceObjectives::default();
    if let Some(QualityTarget::AtLeast(share)) =
        configuration.preset_in_force().map(|preset| preset.quality)
    {
        standard.quality = share;
    }
    Objectives { standard, workspaces: BTreeMap::new() }
}
