//! Orders to an engine: which versions to load.
//!
//! Unloading is immediate; loading takes as long as the download from the weight store. An engine that checks fencing
//! numbers refuses an order whose number is lower than the highest it has accepted; other engines apply every order.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::ModelVersion;
use reqwest::Client;
use salvo::http::StatusCode;

use super::state::EngineState;
use crate::http::Reply;
use crate::sync::lock;

/// Applies an order, or refuses it for an old fencing number.
pub(crate) fn apply_order(
    state: &Arc<EngineState>,
    weight_store: Option<SocketAddr>,
    order: &EngineOrder,
) -> Result<Reply, Reply> {
    {
        let mut stats = lock(&state.stats);
        if state.spec.checks_fencing && order.fencing < stats.fencing {
            stats.fenced_off += 1;
            return Err(Reply::refused(StatusCode::CONFLICT, "fencing number is old"));
        }
        stats.fencing = stats.fencing.max(order.fencing);
    }
    let missing: Vec<ModelVersion> = {
        let mut loaded = lock(&state.loaded);
        loaded.retain(|version| order.state.loaded.contains(version));
        order.state.loaded.difference(&loaded).cloned().collect()
    };
    for version in missing {
        tokio::spawn(load(Arc::clone(state), weight_store, version, order.fencing));
    }
    Ok(Reply::json(&true))
}

/// Loads a version, unless a later order arrives meanwhile.
async fn load(
    state: Arc<EngineState>,
    weight_store: Option<SocketAddr>,
    version: ModelVersion,
    fencing: u64,
) {
    if let Some(address) = weight_store
        && fetch_weights(address, &version).await.is_err()
    {
        return;
    }
    if lock(&state.stats).fencing == fencing {
        lock(&state.loaded).insert(version);
    }
}

async fn fetch_weights(address: SocketAddr, version: &ModelVersion) -> reqwest::Result<()> {
    let client = Client::builder().no_proxy().tls_certs_only([]).build()?;
    let url = format!("http://{address}/weights/{version}");
    client.get(url).send().await?.error_for_status()?;
    Ok(())
}
