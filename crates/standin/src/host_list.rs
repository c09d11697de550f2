//! Stand-in for the platform's host list: `GET /hosts`, served with a lag.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_edge::HostList;
use foxtailhoist_model::ListedHost;
use foxtailhoist_model::Presence;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::Method;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::http::Call;
use crate::http::Reply;
use crate::listener::ListenerHandle;
use crate::sync::lock;

/// Maximum earlier lists kept to serve with a lag; the oldest is evicted first.
const HISTORY_LIMIT: usize = 256;

/// Faults of the host list; `POST /faults` replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Age of the served list, in milliseconds.
    pub lag_ms: u64,
    /// Every call is answered 503.
    pub down: bool,
}

/// Changes whether a host takes new work; `POST /presence`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresenceChange {
    /// An entry host or a backend server.
    pub id: String,
    pub presence: Presence,
}

/// A running stand-in host list.
#[derive(Debug)]
pub struct HostListServer {
    listener: ListenerHandle,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    history: Mutex<VecDeque<ListSnapshot>>,
    faults: Mutex<HostListFaults>,
}

#[derive(Clone, Debug)]
struct ListSnapshot {
    since: Instant,
    list: HostList,
}

struct HostListHandler {
    state: Arc<State>,
}

impl HostListServer {
    /// Starts the stand-in with an initial list; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(address: SocketAddr, list: HostList) -> io::Result<HostListServer> {
        let first = ListSnapshot { since: Instant::now(), list };
        let state = Arc::new(State {
            history: Mutex::new(VecDeque::from([first])),
            faults: Mutex::default(),
        });
        let handler = HostListHandler { state: Arc::clone(&state) };
        let listener =
            ListenerHandle::start(address, handler.arc(), Arc::new(Notify::new())).await?;
        Ok(HostListServer { listener, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: HostListFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Replaces the entry hosts.
    pub fn set_entry_hosts(&self, entry_hosts: Vec<ListedHost>) {
        self.state.change(|list| list.entry_hosts = entry_hosts);
    }

    /// Changes whether a host takes new work. Returns whether the list contains the host.
    pub fn set_presence(&self, change: &PresenceChange) -> bool {
        self.state.set_presence(change)
    }

    /// Stops serving.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

#[async_trait]
impl Handler for HostListHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let reply = match Call::read(req).await {
            Ok(call) => self.answer(&call).unwrap_or_else(|refusal| refusal),
            Err(refusal) => refusal,
        };
        reply.write_to(res);
    }
}

impl HostListHandler {
    fn answer(&self, call: &Call) -> Result<Reply, Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/hosts") if lock(&self.state.faults).down => {
                Err(Reply::refused(StatusCode::SERVICE_UNAVAILABLE, "down on purpose"))
            }
            (&Method::GET, "/hosts") => Ok(Reply::json(&self.state.visible_list())),
            (&Method::POST, "/faults") => {
                let faults: HostListFaults = call.json()?;
                *lock(&self.state.faults) = faults;
                Ok(Reply::json(&faults))
            }
            (&Method::POST, "/presence") => {
                let change: PresenceChange = call.json()?;
                if !self.state.set_presence(&change) {
                    return Err(Reply::refused(StatusCode::NOT_FOUND, "no such host"));
                }
                Ok(Reply::json(&change))
            }
            _ => Err(Reply::not_found()),
        }
    }
}

impl State {
    /// The latest list that is at least as old as the lag, or the oldest one kept.
    fn visible_list(&self) -> HostList {
        let lag = Duration::from_millis(lock(&self.faults).lag_ms);
        let now = Instant::now();
        let history = lock(&self.history);
        let old_enough =
            history.iter().rev().find(|snapshot| now.duration_since(snapshot.since) >= lag);
        old_enough.or(history.front()).map(|snapshot| snapshot.list.clone()).unwrap_or_default()
    }

    fn change(&self, change: impl FnOnce(&mut HostList)) {
        let mut history = lock(&self.history);
        let mut list = history.back().map(|snapshot| snapshot.list.clone()).unwrap_or_default();
        change(&mut list);
        if history.len() >= HISTORY_LIMIT {
            history.pop_front();
        }
        history.push_back(ListSnapshot { since: Instant::now(), list });
    }

    fn set_presence(&self, change: &PresenceChange) -> bool {
        let mut found = false;
        self.change(|list| {
            for host in list.entry_hosts.iter_mut().filter(|host| host.id == change.id) {
                host.presence = change.presence;
                found = true;
            }
            for server in list.backend_servers.iter_mut().filter(|server| server.id == change.id) {
                server.presence = change.presence;
                found = true;
            }
        });
        found
    }
}
