//! Carries out what the entry host asks for.
//!
//! Everything here runs under the shell's lock and returns at once; what takes time is started as a task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use foxtailhoist_edge::AttemptRequest;
use foxtailhoist_host::event::CallId;
use foxtailhoist_host::event::Effect;
use foxtailhoist_host::event::Event;
use foxtailhoist_host::event::Notification;
use foxtailhoist_model::BackendServerId;
use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::StoreOp;
use foxtailhoist_route::event::Completion;
use foxtailhoist_route::event::Dispatch;
use tokio::sync::watch;

use crate::attempt::AttemptTask;
use crate::attempt::Output;
use crate::keys::ApiKeys;
use crate::ratings::RatedAnswer;
use crate::registry::AttemptEntry;
use crate::registry::Content;
use crate::registry::Delivery;
use crate::registry::Verdict;
use crate::shell::Shell;
use crate::shell::State;

impl Shell {
    pub(crate) fn perform(self: &Arc<Shell>, state: &mut State, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(state, dispatch),
            Effect::Cancel { attempt } => state.registry.cancel(attempt),
            Effect::Deliver { attempt, .. } => state.registry.permit(attempt, Delivery::Started),
            Effect::Complete(completion) => {
                self.record_completion(state, &completion);
                state.registry.complete(completion);
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
            Effect::Notification(note) => self.note(state, &note),
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

    fn note(&self, state: &mut State, note: &Notification) {
        crate::logs::note(note);
        if let Notification::Vetoed { model_version, .. } = note {
            self.recorder.vetoed(model_version);
        }
        if let Notification::ConfigurationAdopted { .. } = note
            && let Some(configuration) = state.host.configuration()
        {
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
