//! Drives the entry host: events in, effects carried out.
//!
//! The host and the registry of what is in progress stand under one lock. Effects are carried out while the lock is
//! held, so that they take place in the order in which they were decided; none of them waits: whatever takes time is
//! started as a task that comes back with an event.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_host::EntryHost;
use foxtailhoist_host::event::AttemptEvent;
use foxtailhoist_host::event::CallId;
use foxtailhoist_host::event::CommandId;
use foxtailhoist_host::event::Effect;
use foxtailhoist_host::event::Event;
use foxtailhoist_host::event::Note;
use foxtailhoist_host::operator::OperatorCommand;
use foxtailhoist_host::operator::OperatorReply;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::Configuration;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Idempotency;
use foxtailhoist_model::Limits as PresetLimits;
use foxtailhoist_model::Priority;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::Request;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::WorkspaceId;
use foxtailhoist_peers::event::Member;
use foxtailhoist_platform::AttemptRequest;
use foxtailhoist_platform::HostList;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::event::Dispatch;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Edges;
use crate::Identity;
use crate::KeyRing;
use crate::Limits;
use crate::attempt::AttemptTask;
use crate::attempt::Output;
use crate::http::callers::RequestDefaults;
use crate::keys::ApiKeys;
use crate::metrics::Metrics;
use crate::ratings::RatedAnswer;
use crate::ratings::RecentAnswers;
use crate::recorder::Arrival;
use crate::recorder::Recorder;
use crate::registry::AttemptEntry;
use crate::registry::CallerEnd;
use crate::registry::Content;
use crate::registry::Delivery;
use crate::registry::Registry;
use crate::registry::Verdict;

/// Longest wait for the reply to an operator's command.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest sleep between ticks of the host.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// The process around one entry host.
pub struct Shell {
    state: Mutex<State>,
    edges: Edges,
    limits: Limits,
    keys: KeyRing,
    metrics: Metrics,
    recorder: Recorder,
    host: EntryHostId,
    wake: Notify,
    stopped: watch::Sender<bool>,
}

struct State {
    host: EntryHost,
    registry: Registry,
    api_keys: Arc<ApiKeys>,
    recent: RecentAnswers,
    commands: BTreeMap<CommandId, oneshot::Sender<Result<OperatorReply, Refusal>>>,
    next_command: CommandId,
    listed: BTreeMap<EntryHostId, SocketAddr>,
}

impl Shell {
    pub fn new(
        host: EntryHost,
        edges: Edges,
        limits: Limits,
        keys: KeyRing,
        metrics: Metrics,
        identity: &Identity,
    ) -> Shell {
        let state = State {
            host,
            registry: Registry::default(),
            api_keys: Arc::default(),
            recent: RecentAnswers::default(),
            commands: BTreeMap::new(),
            next_command: 0,
            listed: BTreeMap::new(),
        };
        Shell {
            state: Mutex::new(state),
            edges,
            limits,
            keys,
            metrics,
            recorder: Recorder::new(identity.data_centre.clone()),
            host: identity.host.clone(),
            wake: Notify::new(),
            stopped: watch::Sender::new(false),
        }
    }

    pub fn edges(&self) -> &Edges {
        &self.edges
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

    /// Name of this entry host.
    pub fn host(&self) -> &EntryHostId {
        &self.host
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().host.configuration().cloned()
    }

    /// Entry hosts that are alive.
    pub fn members(&self) -> Vec<Member> {
        self.lock().host.members()
    }

    /// Entry hosts that the host list showed last.
    pub fn listed_entry_hosts(&self) -> BTreeMap<EntryHostId, SocketAddr> {
        self.lock().listed.clone()
    }

    /// Takes what the host list shows.
    pub fn take_host_list(self: &Arc<Shell>, list: HostList) {
        let mut state = self.lock();
        state.listed =
            list.entry_hosts.iter().map(|host| (host.id.clone(), host.address)).collect();
        let HostList { entry_hosts, backend_servers } = list;
        self.handle_locked(&mut state, Event::HostList { entry_hosts, backend_servers });
    }

    /// Counts a refusal of a request that did not reach the host; `workspace` is known once its key was read.
    pub fn refused_early(&self, workspace: Option<&str>, refusal: &Refusal) {
        self.metrics.refused(refusal.kind);
        if let Some(workspace) = workspace {
            let configuration = self.configuration();
            let labels = self.recorder.labels(workspace, configuration.as_deref());
            self.recorder.refused(labels, refusal);
        }
    }

    /// Turns true when nothing is held any more after a stop.
    pub fn stopped(&self) -> watch::Receiver<bool> {
        self.stopped.subscribe()
    }

    /// Whether the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.lock().host.is_ready()
    }

    /// Workspaces by API key, of the configuration in force.
    pub fn api_keys(&self) -> Arc<ApiKeys> {
        Arc::clone(&self.lock().api_keys)
    }

    /// What a workspace's requests get when they state nothing.
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

    /// Whether a call of a plain service may run more than once.
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
        let first = path.split('/').next().unwrap_or_default();
        if configured.idempotent_paths.contains(first) {
            return Ok(Idempotency::Idempotent);
        }
        let own = || format!("{:032x}", rand::random::<u128>());
        let from_caller = key.is_some();
        let key = key.map_or_else(own, str::to_owned);
        Ok(Idempotency::AtMostOnce { key, from_caller })
    }

    /// Hands an event to the host and carries out its effects.
    pub fn handle(self: &Arc<Shell>, event: Event) {
        let mut state = self.lock();
        self.handle_locked(&mut state, event);
    }

    pub fn attempt(self: &Arc<Shell>, attempt: AttemptId, news: AttemptEvent) {
        if let AttemptEvent::Finished { body, .. } = &news {
            self.lock().recent.note_attempt(attempt, body);
        }
        self.handle(Event::Attempt { attempt, news });
    }

    pub fn forget_attempt(&self, attempt: AttemptId) {
        self.lock().registry.forget_attempt(attempt);
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Refuses a request whose id is in progress, and any over the limit of requests in progress.
    pub fn open(
        self: &Arc<Shell>,
        request: Request,
        content: Content,
    ) -> Result<CallerEnd, Refusal> {
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
        let pieces = self.limits.pieces;
        let end =
            state.registry.open(request.id, content, arrival, labels, pieces).ok_or_else(|| {
                Refusal::new(
                    ErrorKind::Undecided,
                    "a request with this idempotency key is in progress; come back later",
                )
                .with_retry_after(Duration::from_secs(1))
            })?;
        self.handle_locked(&mut state, Event::Request(Box::new(request)));
        Ok(end)
    }

    /// Tells the host that a caller left; harmless for a request that ended.
    pub fn caller_gone(self: &Arc<Shell>, request: RequestId) {
        let mut state = self.lock();
        if state.registry.request(request).is_none() {
            return;
        }
        self.handle_locked(&mut state, Event::CallerGone { request });
    }

    /// Carries out an operator's command.
    ///
    /// # Errors
    ///
    /// Returns the host's refusal, or that no answer came in time.
    pub async fn operator(
        self: &Arc<Shell>,
        order: OperatorCommand,
    ) -> Result<OperatorReply, Refusal> {
        let reply = {
            let mut state = self.lock();
            let command = state.next_command;
            state.next_command += 1;
            let (tx, rx) = oneshot::channel();
            state.commands.insert(command, tx);
            self.handle_locked(&mut state, Event::Operator { command, order: Box::new(order) });
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

    /// Ticks the host at the times that it names, until it has stopped.
    pub async fn run_clock(self: Arc<Shell>) {
        let mut stopped = self.stopped();
        loop {
            let now = Instant::now();
            let latest = now + TICK_INTERVAL;
            let wake = self.lock().host.next_wake().map_or(latest, |wake| wake.min(latest));
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => self.handle(Event::Tick { wall: SystemTime::now() }),
                () = self.wake.notified() => {}
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in the host is a fault of this program; the state is still the best one there is.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_locked(self: &Arc<Shell>, state: &mut State, event: Event) {
        let before = state.host.next_wake();
        for effect in state.host.handle(event, Instant::now()) {
            self.perform(state, effect);
        }
        if state.host.next_wake() != before {
            self.wake.notify_one();
        }
    }

    fn perform(self: &Arc<Shell>, state: &mut State, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(state, dispatch),
            Effect::Cancel { attempt } => state.registry.cancel(attempt),
            Effect::Deliver { attempt, .. } => state.registry.permit(attempt, Delivery::Started),
            Effect::Complete(completion) => {
                self.record_completion(state, &completion);
                state.registry.permit(completion.attempt, Delivery::Released);
                state.registry.end(completion.request, Verdict::Complete(completion));
            }
            Effect::Replay { request, outcome } => {
                state.registry.end(request, Verdict::Replay(outcome))
            }
            Effect::Refuse { request, refusal } => {
                self.record_refusal(state, request, &refusal);
                state.registry.cancel_all(request);
                state.registry.end(request, Verdict::Refused(refusal));
            }
            Effect::Rate { request } => self.rate(state, request),
            Effect::RetireConnections(server) => self.retire(state, &server),
            Effect::RetirePeer { address } => self.edges.peers.retire(address),
            Effect::Order(order) => self.order(state, order),
            Effect::Store { call, op } => self.store(call, op),
            Effect::Send { to, address, body } => self.send(to, address, body),
            Effect::Operator { command, reply } => {
                if let Some(tx) = state.commands.remove(&command) {
                    // The operator's connection may be gone; the audit log still shows what was done.
                    let _ = tx.send(reply);
                }
            }
            Effect::Note(note) => self.note(state, &note),
            Effect::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn record_completion(&self, state: &mut State, completion: &Completion) {
        self.metrics.completed(completion);
        let configuration = state.host.configuration().map(Arc::as_ref);
        let Some(entry) = state.registry.request(completion.request) else {
            return;
        };
        let mut labels = entry.labels.clone();
        labels.model_version.clone_from(&completion.model_version);
        labels.server = Some(completion.server.clone());
        if let Some(data_centre) = state.host.server_data_centre(&completion.server) {
            labels.data_centre.clone_from(data_centre);
        }
        self.recorder.completed(&labels, completion, &entry.arrival, configuration);
        state.recent.note_completion(completion, labels);
    }

    fn record_refusal(&self, state: &State, request: RequestId, refusal: &Refusal) {
        self.metrics.refused(refusal.kind);
        if let Some(entry) = state.registry.request(request) {
            self.recorder.refused(entry.labels.clone(), refusal);
        }
    }

    fn record_dispatch(&self, state: &mut State, dispatch: &Dispatch) {
        let configuration = state.host.configuration().map(Arc::as_ref);
        let Some(entry) = state.registry.request(dispatch.request) else {
            return;
        };
        if let Some(model_version) = &dispatch.model_version {
            self.recorder.dispatched(model_version, entry.arrival.caller, configuration);
        }
        let mut labels = self.recorder.labels(&entry.content.workspace, configuration);
        labels.model_version.clone_from(&dispatch.model_version);
        labels.server = Some(dispatch.server.clone());
        if let Some(data_centre) = state.host.server_data_centre(&dispatch.server) {
            labels.data_centre.clone_from(data_centre);
        }
        state.registry.set_labels(dispatch.request, labels);
    }

    fn note(&self, state: &mut State, note: &Note) {
        crate::logs::note(note);
        if let Note::Vetoed { model_version, .. } = note {
            self.recorder.vetoed(model_version);
        }
        if let Some(configuration) = state.host.configuration() {
            state.api_keys = Arc::new(ApiKeys::of(configuration));
        }
    }

    fn dispatch(self: &Arc<Shell>, state: &mut State, dispatch: Dispatch) {
        self.record_dispatch(state, &dispatch);
        let attempt = dispatch.attempt;
        let (Some(entry), Some(address)) =
            (state.registry.request(dispatch.request), state.host.server_address(&dispatch.server))
        else {
            return;
        };
        let request = attempt_request(&dispatch, &entry.content, address);
        let (delivery, permission) = watch::channel(Delivery::Withheld);
        let output = Output::new(entry, permission);
        let attempt_entry = AttemptEntry { request: dispatch.request, delivery, task: None };
        state.registry.add_attempt(attempt, attempt_entry);
        let task = AttemptTask { shell: Arc::clone(self), dispatch, request, output };
        let handle = tokio::spawn(task.run());
        state.registry.set_task(attempt, handle.abort_handle());
    }

    fn rate(self: &Arc<Shell>, state: &mut State, request: RequestId) {
        let Some(RatedAnswer { rating, labels }) = state.recent.rating_request(request) else {
            return;
        };
        let shell = Arc::clone(self);
        tokio::spawn(async move {
            match shell.edges.ratings.rate(rating).await {
                Ok(rating) => {
                    shell.recorder.rated(labels, rating.acceptable);
                    shell.handle(Event::Rated(rating));
                }
                Err(error) => log::debug!("event=rating_failed error=\"{error}\""),
            }
        });
    }

    fn retire(&self, state: &State, server: &BackendServerId) {
        if let Some(address) = state.host.server_address(server) {
            self.edges.backends.retire(address);
        }
    }

    fn order(self: &Arc<Shell>, state: &State, order: EngineOrder) {
        let Some(address) = state.host.server_address(&order.server) else {
            return;
        };
        let shell = Arc::clone(self);
        tokio::spawn(async move {
            let server = order.server.clone();
            if let Err(error) = shell.edges.backends.order(address, order).await {
                log::warn!("event=order_failed server={server} error=\"{error}\"");
            }
        });
    }

    fn store(self: &Arc<Shell>, call: CallId, op: StoreOp) {
        self.metrics.store_call(op.is_write());
        let shell = Arc::clone(self);
        tokio::spawn(async move {
            let result = shell.edges.objects.call(op).await;
            shell.handle(Event::Store { call, result });
        });
    }

    fn send(self: &Arc<Shell>, to: String, address: SocketAddr, body: bytes::Bytes) {
        self.metrics.peer_bytes(body.len());
        let shell = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = shell.edges.peers.send(address, body).await {
                log::debug!("event=send_failed peer={to} error=\"{error}\"");
                shell.handle(Event::SendFailed { to });
            }
        });
    }
}

fn attempt_request(dispatch: &Dispatch, content: &Content, address: SocketAddr) -> AttemptRequest {
    AttemptRequest {
        attempt: dispatch.attempt,
        address,
        model_version: dispatch.model_version.clone(),
        method: content.method.clone(),
        path: content.path.clone(),
        body: content.body.clone(),
        content_type: content.content_type.clone(),
        streamed: content.streamed,
        priority: dispatch.priority,
        remaining: dispatch.deadline.saturating_duration_since(Instant::now()),
        first_byte_timeout: dispatch.first_byte_timeout,
        resume_after: dispatch.resume_after,
        idempotency_key: content.idempotency_key.clone(),
    }
}

/// Workspace of a presented API key.
///
/// # Errors
///
/// Refuses an absent and an unknown key alike.
pub fn authenticate(shell: &Shell, presented: Option<&str>) -> Result<WorkspaceId, Refusal> {
    let refusal = || {
        Refusal::new(ErrorKind::Unauthenticated, "send a known key as `Authorization: Bearer KEY`")
    };
    let key = presented.ok_or_else(refusal)?;
    shell.api_keys().workspace(key).cloned().ok_or_else(refusal)
}
