//! Routes by host and path prefix, with their limits.
//!
//! A [`RoutingTable`] is a complete, immutable configuration of routes, services, workspaces and limits. It is replaced
//! as a whole, so that a request sees a single version of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_model::ModelId;
use foxtailhoist_model::RegionId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

pub type RouteId = String;

/// How many times a route's requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// At most once per request of a caller.
    AtMostOnce,
    /// A stream of events that another server may resume.
    ResumableStream,
    /// A stream of events that must not be run again.
    Stream,
}

/// Requests of one host and path prefix, and how they are forwarded.
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
    /// Time limit for the final answer, if configured.
    pub timeout: Option<Duration>,
    /// Target time to the answer or to a stream's first event.
    pub latency_target: Option<Duration>,
    /// Maximum gap between two events of a stream that counts as on time.
    pub event_gap_target: Option<Duration>,
    /// Maximum number of attempts per request of a caller.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Models that the router chooses from, smallest first; empty where the caller chooses the model.
    pub models: Vec<ModelId>,
    /// Homes of its requests; `None` if they may go anywhere.
    pub regions: Option<BTreeSet<RegionId>>,
}

/// A service that takes a share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub service: ServiceId,
    pub weight: u64,
}

/// Configuration of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum connections to one server from all entry hosts together, if limited.
    pub max_connections: Option<u32>,
    /// Time for which a server is cold after its start.
    #[serde(default)]
    pub warm_up: Duration,
    /// Requests a second that a cold server takes from all entry hosts together, if limited.
    #[serde(default)]
    pub warm_up_per_second: Option<f64>,
    /// Set if the servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// Configuration of a service's engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u64,
}

/// A workspace and its priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub id: WorkspaceId,
    /// Overrides the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Homes of its requests; `None` if they may go anywhere.
    pub regions: Option<BTreeSet<RegionId>>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Time limit for receiving a request's complete head.
    pub header_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

/// One complete configuration of routes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Increases with each configuration, in steps of any size.
    pub version: u64,
    pub services: BTreeMap<ServiceId, Service>,
    pub limits: CallerLimits,
    /// Routes by host name, longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Workspaces by key; `None` where callers need no key.
    keys: Option<BTreeMap<String, Arc<Workspace>>>,
}

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route or the whole table requires no key.
    Anonymous,
    Workspace(Arc<Workspace>),
    /// A key is required, and none or an unknown one was given.
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

    /// Finds the route with the longest prefix of the path; a query in `path` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.hosts.get(&name)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Identifies the sender of a request on a route by its key.
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

    /// Whether callers belong to more than one workspace.
    #[must_use]
    pub fn has_several_workspaces(&self) -> bool {
        let mut ids = self.keys.iter().flat_map(BTreeMap::values).map(|workspace| &workspace.id);
        ids.next().is_some_and(|first| ids.any(|id| id != first))
    }

    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Chooses the service of a request by weight; `hash` must be uniformly distributed over all requests.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut hash = hash % total;
        for target in &self.targets {
            if hash < target.weight {
                return Some(&target.service);
            }
            hash -= target.weight;
        }
        None
    }
}

impl Repeatability {
    /// Whether a request that may have run may be resent.
    #[must_use]
    pub fn allows_retry(self) -> bool {
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
