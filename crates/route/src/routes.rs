//! Routes by host and path prefix, with what the operators allow on each.
//!
//! A [`RoutingTable`] is one whole configuration of routes, services, workspaces and limits. It is built once and
//! replaced as a whole, so a request sees one version of it from its arrival on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_model::ModelId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Name of a route.
pub type RouteId = String;

/// How often a route's requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// Once for each request of a caller.
    AtMostOnce,
    /// A stream of events that another server may continue.
    ResumableStream,
    /// A stream of events that must not be run again.
    Stream,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub id: RouteId,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// Services and their shares of the traffic.
    pub targets: Vec<Target>,
    pub repeatability: Repeatability,
    /// Longest time until the final answer, if the operators set one.
    pub timeout: Option<Duration>,
    /// Time in which the answer, or a stream's first event, is worth most.
    pub latency_target: Option<Duration>,
    /// Longest pause between the events of a stream that is on time.
    pub event_gap_target: Option<Duration>,
    /// Most servers that one request of a caller may be sent to.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Needs no key.
    pub public: bool,
    /// Models among which the router chooses, smallest first; empty where the caller names the model.
    pub models: Vec<ModelId>,
}

/// A service that takes a share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub service: ServiceId,
    pub weight: u64,
}

/// What is configured of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that a server takes from all entry hosts together, if limited.
    pub max_connections: Option<u32>,
    /// Present where the servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// What is configured of a service's engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u64,
}

/// A workspace's standing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub id: WorkspaceId,
    /// Goes before the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Longest time until a request's head is complete.
    pub header_timeout: Duration,
    /// Longest time that a connection may be unused.
    pub idle_timeout: Duration,
}

/// One configuration of routes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Grows with each configuration, in steps of any size.
    pub version: u64,
    pub services: BTreeMap<ServiceId, Service>,
    pub limits: CallerLimits,
    /// Routes of each host, longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Workspaces by key; `None` where callers need no key.
    keys: Option<BTreeMap<String, Arc<Workspace>>>,
}

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route or the whole table asks for no key.
    Anonymous,
    Workspace(Arc<Workspace>),
    /// A key is needed and none or an unknown one was given.
    Unknown,
}

impl RoutingTable {
    /// Builds a table. `keys` is `None` where callers need no key.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, Service>,
        keys: Option<BTreeMap<String, Arc<Workspace>>>,
        limits: CallerLimits,
    ) -> RoutingTable {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RoutingTable { version, services, limits, hosts, keys }
    }

    /// The route with the longest prefix of the path, which may carry a query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.hosts.get(&name)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whose key it is, on a route.
    #[must_use]
    pub fn identify(&self, route: &Route, key: Option<&str>) -> Identity {
        let Some(keys) = &self.keys else {
            return Identity::Anonymous;
        };
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => Identity::Workspace(workspace.clone()),
            None if route.public => Identity::Anonymous,
            None => Identity::Unknown,
        }
    }

    /// Number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// The service for a request, by a number that is spread evenly over all requests.
    #[must_use]
    pub fn service(&self, point: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = point % total;
        for target in &self.targets {
            if point < target.weight {
                return Some(&target.service);
            }
            point -= target.weight;
        }
        None
    }
}

impl Repeatability {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Repeatability::Idempotent | Repeatability::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Repeatability::ResumableStream | Repeatability::Stream)
    }
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
