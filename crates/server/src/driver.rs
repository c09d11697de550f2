//! Drives the entry host: passes events to it and performs the resulting effects.
//!
//! One lock protects the host and the registry of requests and attempts in progress. Effects are performed while the
//! lock is held, so that they happen in the order in which they were decided. None of them blocks: long-running work is
//! spawned as a task that reports back with an event.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_edge::HostList;
use foxtailhoist_host::EntryHost;
use foxtailhoist_host::event::AttemptEvent;
use foxtailhoist_host::event::CommandId;
use foxtailhoist_host::event::Event;
use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_host::operator::OperatorReply;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::Limits as PresetLimits;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_peers::event::Member;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Clients;
use crate::Identity;
use crate::KeyRing;
use crate::Limits;
use crate::http::callers::RequestDefaults;
use crate::keys::ApiKeys;
use crate::metrics::Metrics;
use crate::ratings::RecentAnswers;
use crate::recorder::Arrival;
use crate::recorder::Recorder;
use crate::registry::CallerHandle;
use crate::registry::Registry;
use crate::registry::RequestContent;

/// Timeout for the reply to an operator's command.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest interval between ticks of the host.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// One entry host, with what is needed to perform its effects.
pub struct Driver {
    pub(crate) state: Mutex<State>,
    pub(crate) clients: Clients,
    pub(crate) limits: Limits,
    pub(crate) keys: KeyRing,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder,
    pub(crate) host_id: EntryHostId,
    pub(crate) wake: Notify,
    pub(crate) stopped: watch::Sender<bool>,
}

/// State protected by the driver's lock.
pub(crate) struct State {
    pub(crate) host: EntryHost,
    pub(crate) registry: Registry,
    pub(crate) api_keys: Arc<ApiKeys>,
    pub(crate) recent: RecentAnswers,
    pub(crate) pending_commands:
        BTreeMap<CommandId, oneshot::Sender<Result<OperatorReply, Refusal>>>,
    pub(crate) next_command: CommandId,
    pub(crate) listed_hosts: BTreeMap<EntryHostId, SocketAddr>,
}

impl Driver {
    pub fn new(
        host: EntryHost,
        clients: Clients,
        limits: Limits,
        keys: KeyRing,
        metrics: Metrics,
        identity: &Identity,
    ) -> Driver {
        let state = State {
            host,
            registry: Registry::default(),
            api_keys: Arc::default(),
            recent: RecentAnswers::default(),
            pending_commands: BTreeMap::new(),
            next_command: 0,
            listed_hosts: BTreeMap::new(),
        };
        Driver {
            state: Mutex::new(state),
            clients,
            limits,
            keys,
            metrics,
            recorder: Recorder::new(identity.data_centre.clone()),
            host_id: identity.host.clone(),
            wake: Notify::new(),
            stopped: watch::Sender::new(false),
        }
    }

    pub fn clients(&self) -> &Clients {
        &self.clients
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Id of this entry host.
    pub fn host_id(&self) -> &EntryHostId {
        &self.host_id
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().host.configuration().cloned()
    }

    /// Entry hosts that are alive.
    pub fn members(&self) -> Vec<Member> {
        self.lock().host.members()
    }

    /// Entry hosts on the host list when it was last read.
    pub fn listed_entry_hosts(&self) -> BTreeMap<EntryHostId, SocketAddr> {
        self.lock().listed_hosts.clone()
    }

    /// Applies a newly read host list.
    pub fn apply_host_list(self: &Arc<Driver>, list: HostList) {
        let mut state = self.lock();
        state.listed_hosts =
            list.entry_hosts.iter().map(|host| (host.id.clone(), host.address)).collect();
        let HostList { entry_hosts, backend_servers } = list;
        self.handle_locked(&mut state, Event::HostList { entry_hosts, backend_servers });
    }

    /// Counts a refusal of a request that did not reach the host; `workspace` is known once the API key was checked.
    pub fn record_early_refusal(&self, workspace: Option<&str>, refusal: &Refusal) {
        self.metrics.refused(refusal.kind);
        if let Some(workspace) = workspace {
            let configuration = self.configuration();
            let labels = self.recorder.labels(workspace, configuration.as_deref());
            self.recorder.refused(labels, refusal);
        }
    }

    /// Becomes true once the host has finished a planned stop.
    pub fn stopped(&self) -> watch::Receiver<bool> {
        self.stopped.subscribe()
    }

    /// Whether the load balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.lock().host.is_ready()
    }

    /// API keys of the configuration in force.
    pub fn api_keys(&self) -> Arc<ApiKeys> {
        Arc::clone(&self.lock().api_keys)
    }

    /// Defaults for a workspace's requests that set no priority or deadline.
    pub fn request_defaults(&self, workspace: &str) -> RequestDefaults {
        let state = self.lock();
        let configuration = state.host.configuration();
        let preset = configuration.and_then(|configuration| configuration.preset_in_force());
        let entry = configuration.and_then(|configuration| configuration.workspaces.get(workspace));
        RequestDefaults {
            priority: entry.map_or_else(Priority::default, |entry| entry.priority),
            deadline: preset
                .map_or_else(PresetLimits::default, |preset| preset.limits.clone())
                .default_deadline(),
        }
    }

    /// Whether a plain service's call may run more than once; the first segment of its path decides.
    ///
    /// # Errors
    ///
    /// Refuses a service that is not configured.
    pub fn idempotency(
        &self,
        service: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Idempotency, Refusal> {
        let state = self.lock();
        let configured = state
            .host
            .configuration()
            .and_then(|configuration| configuration.services.get(service));
        let unknown =
            || Refusal::new(ErrorKind::NotFound, &format!("there is no service '{service}'"));
        let configured = configured.ok_or_else(unknown)?;
        let first_segment = path.split('/').next().unwrap_or_default();
        if configured.idempotent_paths.contains(first_segment) {
            return Ok(Idempotency::Idempotent);
        }
        let generated = || format!("{:032x}", rand::random::<u128>());
        let from_caller = key.is_some();
        let key = key.map_or_else(generated, str::to_owned);
        Ok(Idempotency::AtMostOnce { key, from_caller })
    }

    /// Passes an event to the host and performs the resulting effects.
    pub fn handle(self: &Arc<Driver>, event: Event) {
        let mut state = self.lock();
        self.handle_locked(&mut state, event);
    }

    pub fn handle_attempt_event(self: &Arc<Driver>, attempt: AttemptId, update: AttemptEvent) {
        if let AttemptEvent::Finished { body, .. } = &update {
            self.lock().recent.record_attempt(attempt, body);
        }
        self.handle(Event::Attempt { attempt, update });
    }

    pub fn forget_attempt(&self, attempt: AttemptId) {
        self.lock().registry.forget_attempt(attempt);
    }

    /// Accepts a request and passes it to the host.
    ///
    /// # Errors
    ///
    /// Refuses a request whose id is already in progress, and any request over the limits.
    pub fn open(
        self: &Arc<Driver>,
        request: Request,
        content: RequestContent,
    ) -> Result<CallerHandle, Refusal> {
        let mut state = self.lock();
        let full = state.registry.requests() >= self.limits.requests
            || content.streamed && state.registry.streams() >= self.limits.streams;
        if full {
            let refusal = Refusal::new(
                ErrorKind::Overloaded,
                "too many requests in progress; come back later",
            );
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        let arrival = Arrival {
            caller: request.caller,
            deadline: request.deadline,
            streamed: content.streamed,
        };
        let labels =
            self.recorder.labels(&request.workspace, state.host.configuration().map(Arc::as_ref));
        let buffered_chunks = self.limits.buffered_chunks;
        let handle = state
            .registry
            .open(request.id, content, arrival, labels, buffered_chunks)
            .ok_or_else(|| {
                Refusal::new(
                    ErrorKind::Undecided,
                    "a request with this idempotency key is in progress; come back later",
                )
                .with_retry_after(Duration::from_secs(1))
            })?;
        self.handle_locked(&mut state, Event::Request(Box::new(request)));
        Ok(handle)
    }

    /// Reports to the host that a caller disconnected; has no effect on a request that has ended.
    pub fn caller_disconnected(self: &Arc<Driver>, request: RequestId) {
        let mut state = self.lock();
        if state.registry.request(request).is_none() {
            return;
        }
        self.handle_locked(&mut state, Event::CallerDisconnected { request });
    }

    /// Executes an operator's command.
    ///
    /// # Errors
    ///
    /// Returns the host's refusal, or a refusal if the host does not reply in time.
    pub async fn execute_command(
        self: &Arc<Driver>,
        order: OperatorCommand,
    ) -> Result<OperatorReply, Refusal> {
        let reply = {
            let mut state = self.lock();
            let command = state.next_command;
            state.next_command += 1;
            let (tx, rx) = oneshot::channel();
            state.pending_commands.insert(command, tx);
            self.handle_locked(
                &mut state,
                Event::Operator { command, operator_command: Box::new(order) },
            );
            rx
        };
        let unanswered = || {
            Refusal::new(
                ErrorKind::StoreUnavailable,
                "no answer in time; `config log` shows whether it took effect",
            )
        };
        match tokio::time::timeout(OPERATOR_TIMEOUT, reply).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Err(unanswered()),
        }
    }

    /// Ticks the host at its requested times until it has stopped.
    pub async fn run_timer(self: Arc<Driver>) {
        let mut stopped = self.stopped();
        loop {
            let now = Instant::now();
            let latest = now + MAX_TICK_INTERVAL;
            let wake = self.lock().host.next_wake().map_or(latest, |wake| wake.min(latest));
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => self.handle(Event::Tick { wall: SystemTime::now() }),
                () = self.wake.notified() => {}
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in the host is a bug in this program; continuing with the existing state is still the best option.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_locked(self: &Arc<Driver>, state: &mut State, event: Event) {
        let before = state.host.next_wake();
        for effect in state.host.handle(event, Instant::now()) {
            self.perform(state, effect);
        }
        if state.host.next_wake() != before {
            self.wake.notify_one();
        }
    }
}

/// Finds the workspace of a presented API key.
///
/// # Errors
///
/// Returns the same refusal for an absent and for an unknown key.
pub fn authenticate(driver: &Driver, presented: Option<&str>) -> Result<WorkspaceId, Refusal> {
    let refusal = || {
        Refusal::new(ErrorKind::Unauthenticated, "send a known key as `Authorization: Bearer KEY`")
    };
    let key = presented.ok_or_else(refusal)?;
    driver.api_keys().workspace(key).cloned().ok_or_else(refusal)
}
