//! Performs the entry host's effects.
//!
//! Everything here runs under the driver's lock and returns immediately; long-running work is spawned as a task.

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
use crate::attempt::OutputBuffer;
use crate::driver::Driver;
use crate::driver::State;
use crate::keys::ApiKeys;
use crate::ratings::RatingCandidate;
use crate::registry::AttemptEntry;
use crate::registry::Delivery;
use crate::registry::RequestContent;
use crate::registry::RequestOutcome;

impl Driver {
    pub(crate) fn perform(self: &Arc<Driver>, state: &mut State, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(state, dispatch),
            Effect::Cancel { attempt } => state.registry.cancel(attempt),
            Effect::Deliver { attempt, .. } => {
                state.registry.allow_delivery(attempt, Delivery::Started)
            }
            Effect::Complete(completion) => {
                self.record_completion(state, &completion);
                state.registry.complete(completion);
            }
            Effect::Replay { request, outcome } => {
                state.registry.end(request, RequestOutcome::Replay(outcome))
            }
            Effect::Refuse { request, refusal } => {
                self.record_refusal(state, request, &refusal);
                state.registry.cancel_all(request);
                state.registry.end(request, RequestOutcome::Refused(refusal));
            }
            Effect::Rate { request } => self.rate(state, request),
            Effect::RetireConnections(server) => self.retire(state, &server),
            Effect::RetirePeer { address } => self.clients.peers.retire(address),
            Effect::Order(order) => self.order(state, order),
            Effect::Store { call, op } => self.store(call, op),
            Effect::Send { to, address, body } => self.send(to, address, body),
            Effect::Operator { command, reply } => {
                if let Some(tx) = state.pending_commands.remove(&command) {
                    // The operator may have disconnected; the audit log still records what was done.
                    let _ = tx.send(reply);
                }
            }
            Effect::Notification(notification) => self.handle_notification(state, &notification),
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
        state.recent.record_completion(completion, labels);
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

    fn handle_notification(&self, state: &mut State, notification: &Notification) {
        crate::logs::log_notification(notification);
        if let Notification::Vetoed { model_version, .. } = notification {
            self.recorder.vetoed(model_version);
        }
        if let Notification::ConfigurationAdopted { .. } = notification
            && let Some(configuration) = state.host.configuration()
        {
            state.api_keys = Arc::new(ApiKeys::from_configuration(configuration));
        }
    }

    fn dispatch(self: &Arc<Driver>, state: &mut State, dispatch: Dispatch) {
        self.record_dispatch(state, &dispatch);
        let attempt = dispatch.attempt;
        let (Some(entry), Some(address)) =
            (state.registry.request(dispatch.request), state.host.server_address(&dispatch.server))
        else {
            return;
        };
        let request = attempt_request(&dispatch, &entry.content, address);
        let (delivery, permission) = watch::channel(Delivery::Withheld);
        let output = OutputBuffer::new(entry, permission);
        let attempt_entry = AttemptEntry { request: dispatch.request, delivery, task: None };
        state.registry.add_attempt(attempt, attempt_entry);
        let task = AttemptTask { driver: Arc::clone(self), dispatch, request, output };
        let handle = tokio::spawn(task.run());
        state.registry.set_task(attempt, handle.abort_handle());
    }

    fn rate(self: &Arc<Driver>, state: &mut State, request: RequestId) {
        let Some(RatingCandidate { rating, labels }) = state.recent.take_candidate(request) else {
            return;
        };
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            match driver.clients.ratings.rate(rating).await {
                Ok(rating) => {
                    driver.recorder.rated(labels, rating.acceptable);
                    driver.handle(Event::Rated(rating));
                }
                Err(error) => log::debug!("event=rating_failed error=\"{error}\""),
            }
        });
    }

    fn retire(&self, state: &State, server: &BackendServerId) {
        if let Some(address) = state.host.server_address(server) {
            self.clients.backends.retire(address);
        }
    }

    fn order(self: &Arc<Driver>, state: &State, order: EngineOrder) {
        let Some(address) = state.host.server_address(&order.server) else {
            return;
        };
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let server = order.server.clone();
            if let Err(error) = driver.clients.backends.order(address, order).await {
                log::warn!("event=order_failed server={server} error=\"{error}\"");
            }
        });
    }

    fn store(self: &Arc<Driver>, call: CallId, op: StoreOp) {
        self.metrics.store_call(op.is_write());
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let result = driver.clients.objects.call(op).await;
            driver.handle(Event::Store { call, result });
        });
    }

    fn send(self: &Arc<Driver>, to: String, address: SocketAddr, body: bytes::Bytes) {
        self.metrics.peer_bytes(body.len());
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = driver.clients.peers.send(address, body).await {
                log::debug!("event=send_failed peer={to} error=\"{error}\"");
                driver.handle(Event::SendFailed { to });
            }
        });
    }
}

fn attempt_request(
    dispatch: &Dispatch,
    content: &RequestContent,
    address: SocketAddr,
) -> AttemptRequest {
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
