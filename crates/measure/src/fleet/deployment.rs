//! The one service of the simulated fleet, and the requests for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_route::dispatch::DispatchConfig;
use foxtailhoist_route::exposure::ExposureLimit;
use foxtailhoist_route::in_flight::Arrival;
use foxtailhoist_route::in_flight::PromptPart;
use foxtailhoist_route::retry_window::RetryLimit;
use foxtailhoist_route::routes::CallerLimits;
use foxtailhoist_route::routes::EngineSpec;
use foxtailhoist_route::routes::Repeatability;
use foxtailhoist_route::routes::Route;
use foxtailhoist_route::routes::RoutingTable;
use foxtailhoist_route::routes::Service;
use foxtailhoist_route::routes::Target;
use foxtailhoist_route::routes::Workspace;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::COMMON_PART;
use super::CRASHING_CONTENT;
use super::CRASHING_PART;
use super::CrashingKind;
use super::Index;
use super::MIDDLING_COUNT;
use super::MIDDLING_PARTS;
use super::WORKSPACE_COUNT;
use super::WORKSPACE_PARTS;

pub(super) const DATA_CENTRE: &str = "dc-a";
pub(super) const SERVICE: &str = "llm";
const KEY: &str = "key-1";
const HOST: &str = "site.example";
/// Small, so that requests go to many servers.
const PART_TOKENS: u64 = 20;
const PROMPT_TOKENS: u64 = 2_000;
/// First of the parts and contents that no two requests share.
const OWN: u64 = 1_000_000;

pub(super) fn dispatch_config() -> DispatchConfig {
    DispatchConfig {
        data_centre: DATA_CENTRE.to_owned(),
        retries: RetryLimit {
            ratio: 0.8,
            slack: 400.0,
            window: Duration::from_secs(10),
            host_share: 0.2,
        },
        exposure: ExposureLimit { share: 0.12, tolerance: 24.0 },
        confidence_floors: vec![70, 50],
        fair_shares: false,
        has_evacuations: false,
        regions: Default::default(),
        warm_up_bound: None,
    }
}

pub(super) fn routing_table() -> Arc<RoutingTable> {
    let engine = EngineSpec { slots: 16, kv_tokens: 400_000 };
    let service = Service { engine: Some(engine), ..Service::default() };
    let services = BTreeMap::from([(SERVICE.to_owned(), service)]);
    let workspace = Arc::new(Workspace { id: "bakery".to_owned(), priority: None, regions: None });
    let keys = BTreeMap::from([(KEY.to_owned(), workspace)]);
    let route = Route {
        id: "chat".to_owned(),
        host: HOST.to_owned(),
        prefix: "/chat/".to_owned(),
        targets: vec![Target { service: SERVICE.to_owned(), weight: 1 }],
        repeatability: Repeatability::ResumableStream,
        timeout: Some(Duration::from_secs(20)),
        latency_target: Some(Duration::from_secs(3)),
        event_gap_target: Some(Duration::from_millis(1_200)),
        max_attempts: 3,
        priority: 1,
        public: false,
        models: Vec::new(),
        regions: None,
    };
    Arc::new(RoutingTable::new(1, vec![route], services, Some(keys), CallerLimits::default()))
}

/// A request; a kind of crashing ones if one is given.
pub(super) fn arrival(
    number: Index,
    crashing: Option<CrashingKind>,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let own = OWN + number as u64;
    let middling = MIDDLING_PARTS + rng.random_range(0..MIDDLING_COUNT);
    let workspace = WORKSPACE_PARTS + rng.random_range(0..WORKSPACE_COUNT);
    let rest = match crashing {
        Some(CrashingKind::Part) => [middling, CRASHING_PART, own],
        // Equal contents have equal parts.
        Some(CrashingKind::Content) => [MIDDLING_PARTS, WORKSPACE_PARTS, CRASHING_CONTENT],
        None => [middling, workspace, own],
    };
    let ids = std::iter::once(COMMON_PART).chain(rest);
    let fingerprint = match crashing {
        Some(CrashingKind::Content) => CRASHING_CONTENT,
        Some(CrashingKind::Part) | None => own,
    };
    Arrival {
        id: format!("request-{number}"),
        host: HOST.to_owned(),
        path: "/chat/1".to_owned(),
        key: Some(KEY.to_owned()),
        caller_timeout: Some(Duration::from_secs(20)),
        parts: ids.map(|id| PromptPart { id, tokens: PART_TOKENS }).collect(),
        prompt_tokens: PROMPT_TOKENS,
        max_output_tokens: 300,
        fingerprint,
        ..Arrival::default()
    }
}
