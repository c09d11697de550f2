//! Lifecycle of attempts between entry hosts and engines.

use std::time::Duration;

use foxtailhoist_model::AttemptId;
use foxtailhoist_model::Usage;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_route::event::Event;
use rand::RngExt;

use super::SimEvent;
use super::World;
use super::request_index;
use crate::policy::engine::Job;
use crate::policy::engine::Output;
use crate::policy::engine::Work;
use crate::policy::fault::Defect;
use crate::policy::host_policy::AttemptParams;
use crate::policy::site::LOCAL_DELAY;

/// Time after which a crashed server is distinguished from a slow one.
const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(200);
/// Time after which a cut link is distinguished from a slow one.
const CUT_DETECTION_DELAY: Duration = Duration::from_secs(3);
/// Timeout of connection attempts over a cut link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Restart time of a crashed engine.
const ENGINE_RESTART_TIME: Duration = Duration::from_secs(20);
/// Share of packets between data centres that are lost.
const PACKET_LOSS_SHARE: f64 = 0.005;
/// Delay until a lost packet is resent.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// A running or ended attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) params: AttemptParams,
    pub(super) host: usize,
    pub(super) first_byte: bool,
    /// The host expects no more events of this attempt.
    pub(super) ended: bool,
    /// The attempt is at its engine, queued or running.
    pub(super) at_engine: bool,
    pub(super) acceptable: bool,
    pub(super) cost: f64,
    /// The version was faulty when the attempt was dispatched.
    pub(super) faulty: bool,
    is_retry_or_hedge: bool,
}

impl World {
    pub(super) fn dispatch(&mut self, host: usize, params: AttemptParams) -> Option<Event> {
        let index = request_index(params.request);
        let serves = self.spec.site.engines[params.engine].model;
        assert_eq!(serves, params.model, "the engine does not serve the model");
        let attempt = self.new_attempt(host, params);
        self.attempts.insert(params.attempt, attempt);
        self.history[index].running += 1;
        self.record_exposure(index, params);
        let refused_after = self.refused_after(host, params.engine);
        if let Some(after) = refused_after {
            let failure = AttemptFailure::Refused;
            self.queue.push_after(after, SimEvent::AttemptFailed(params.attempt, failure));
            return None;
        }
        let delay = self.link_delay(host, params.engine);
        self.queue.push_after(delay, SimEvent::Submit(params.attempt));
        self.queue
            .push_after(params.first_byte_timeout, SimEvent::FirstByteTimeout(params.attempt));
        Some(Event::Sent { attempt: params.attempt })
    }

    fn new_attempt(&mut self, host: usize, params: AttemptParams) -> Attempt {
        let index = request_index(params.request);
        let history = self.history[index];
        let attempts = &mut self.records[index].attempts;
        let is_first = attempts.all == 0;
        let is_hedge = !is_first && history.running > 0;
        let is_retry = !is_first && !is_hedge && history.failed > 0;
        attempts.all += 1;
        attempts.hedges += u32::from(is_hedge);
        attempts.retries += u32::from(is_retry);
        attempts.cascades += u32::from(!is_first && !is_hedge && !is_retry);
        Attempt {
            params,
            host,
            first_byte: false,
            ended: false,
            at_engine: false,
            acceptable: self.acceptable(index, params),
            cost: 0.0,
            faulty: self.is_faulty(params),
            is_retry_or_hedge: is_hedge || is_retry,
        }
    }

    fn acceptable(&self, index: usize, params: AttemptParams) -> bool {
        let arrival = &self.spec.arrivals[index];
        let probability = self.spec.site.classes[arrival.class].acceptable[params.model];
        let defect = self.spec.fault.defect(params.model, params.next_version, self.queue.now());
        let factor = match defect {
            Some(Defect::Quality(factor)) => factor,
            Some(Defect::Errors(_)) | None => 1.0,
        };
        arrival.acceptable(params.model, probability * factor)
    }

    fn refused_after(&self, host: usize, engine: usize) -> Option<Duration> {
        if self.is_cut(host, engine) {
            return Some(CONNECT_TIMEOUT);
        }
        self.down[engine].then(|| self.spec.site.delay(host, engine) * 2)
    }

    fn is_cut(&self, host: usize, engine: usize) -> bool {
        let site = &self.spec.site;
        let (a, b) = (site.hosts[host].data_centre, site.engines[engine].data_centre);
        self.spec.fault.cuts(a, b, self.queue.now())
    }

    fn link_delay(&mut self, host: usize, engine: usize) -> Duration {
        let site = &self.spec.site;
        let remote = site.hosts[host].data_centre != site.engines[engine].data_centre;
        let delay = site.delay(host, engine);
        if remote && self.rng.random::<f64>() < PACKET_LOSS_SHARE {
            return delay + RETRANSMISSION_DELAY;
        }
        delay
    }

    pub(super) fn submit(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| !attempt.ended) else {
            return;
        };
        let params = attempt.params;
        if self.down[params.engine] {
            let failure = AttemptFailure::Refused;
            self.queue.push_after(LOCAL_DELAY, SimEvent::AttemptFailed(id, failure));
            return;
        }
        attempt.at_engine = true;
        let arrival = &self.spec.arrivals[request_index(params.request)];
        // The versions of a model do not share cached prefixes.
        let version_salt = u64::from(params.next_version);
        let job = Job {
            attempt: id,
            priority: params.priority,
            prefix: arrival.prefix ^ version_salt,
            prefix_tokens: arrival.prefix_tokens,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
        };
        let now = self.queue.now();
        let mut outputs = Vec::new();
        self.engines[params.engine].submit(job, now, &mut outputs);
        self.engine_changed(params.engine, outputs);
    }

    pub(super) fn engine_wakes(&mut self, engine: usize, generation: u64) {
        if self.generations[engine] != generation {
            return;
        }
        let mut outputs = Vec::new();
        self.engines[engine].advance(self.queue.now(), &mut outputs);
        self.engine_changed(engine, outputs);
    }

    fn engine_changed(&mut self, engine: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::FirstToken(attempt) => self.engine_produced_first_token(engine, attempt),
                Output::Finished(attempt) => self.engine_finished(attempt),
                Output::Cached { prefix, tokens, present } => {
                    self.publish_cache(engine, prefix, tokens, present);
                }
            }
        }
        self.generations[engine] += 1;
        let generation = self.generations[engine];
        if let Some(at) = self.engines[engine].next_wake() {
            self.queue.push(at, SimEvent::EngineWake { engine, generation });
        }
    }

    fn engine_produced_first_token(&mut self, engine: usize, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let arrival = &self.spec.arrivals[request_index(attempt.params.request)];
        if arrival.poison {
            self.crash(engine);
            return;
        }
        if self.spec.site.classes[arrival.class].spec.streamed {
            let delay = self.link_delay(attempt.host, engine);
            self.queue.push_after(delay, SimEvent::FirstTokenReceived(id));
        }
    }

    fn engine_finished(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let index = request_index(attempt.params.request);
        let arrival = &self.spec.arrivals[index];
        let work =
            Work { prompt_tokens: arrival.prompt_tokens, output_tokens: arrival.output_tokens };
        self.charge(id, work);
        let model = attempt.params.model;
        let now = self.queue.now();
        let defect = self.spec.fault.defect(model, attempt.params.next_version, now);
        let fails = match defect {
            Some(Defect::Errors(share)) => self.rng.random::<f64>() < share,
            Some(Defect::Quality(_)) | None => false,
        };
        let delay = self.link_delay(attempt.host, attempt.params.engine);
        let scheduled = if fails {
            SimEvent::AttemptFailed(id, AttemptFailure::ServerError)
        } else {
            SimEvent::AnswerReceived(id)
        };
        self.queue.push_after(delay, scheduled);
    }

    fn charge(&mut self, id: AttemptId, work: Work) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.at_engine = false;
        let spec = &self.spec.site.models[attempt.params.model].spec;
        let cost = (spec.price_in * f64::from(work.prompt_tokens)
            + spec.price_out * f64::from(work.output_tokens))
            / 1e6;
        attempt.cost = cost;
        let record = &mut self.records[request_index(attempt.params.request)];
        record.cost += cost;
        if attempt.is_retry_or_hedge {
            record.attempts.retry_cost += cost;
        }
    }

    /// Crashes an engine; all its attempts fail.
    fn crash(&mut self, engine: usize) {
        let mut outputs = Vec::new();
        let ended = self.engines[engine].crash(self.queue.now(), &mut outputs);
        self.down[engine] = true;
        self.queue.push_after(ENGINE_RESTART_TIME, SimEvent::EngineUp(engine));
        for (id, work) in ended {
            self.charge(id, work);
            let failure = AttemptFailure::ServerDied;
            self.queue.push_after(CRASH_DETECTION_DELAY, SimEvent::AttemptFailed(id, failure));
        }
    }

    pub(super) fn receive_first_token(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        if attempt.ended || self.is_cut(attempt.host, attempt.params.engine) {
            return;
        }
        self.record_first_byte(id);
        self.handle_event(attempt.host, Event::FirstByte { attempt: id });
    }

    fn record_first_byte(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.first_byte = true;
        let index = request_index(attempt.params.request);
        if self.records[index].delivered == Some(id) {
            self.caller_sees_first_token(index);
        }
    }

    pub(super) fn receive_answer(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        if attempt.ended || self.is_cut(attempt.host, attempt.params.engine) {
            return;
        }
        let index = request_index(attempt.params.request);
        self.end(id);
        self.history[index].completed += 1;
        if !attempt.first_byte {
            self.record_first_byte(id);
            self.handle_event(attempt.host, Event::FirstByte { attempt: id });
        }
        let arrival = &self.spec.arrivals[index];
        let confidence = arrival.confidence(
            attempt.params.model,
            attempt.acceptable,
            &self.spec.workloads.confidence,
        );
        let summary = AnswerSummary {
            status: 200,
            usage: Usage {
                prompt_tokens: arrival.prompt_tokens,
                output_tokens: arrival.output_tokens,
            },
            confidence: Some(confidence),
            leaving: false,
        };
        self.handle_event(attempt.host, Event::Finished { attempt: id, summary });
    }

    pub(super) fn fail(&mut self, id: AttemptId, failure: AttemptFailure) {
        let Some(attempt) = self.attempts.get(&id).copied().filter(|attempt| !attempt.ended) else {
            return;
        };
        self.end(id);
        self.history[request_index(attempt.params.request)].failed += 1;
        self.faulty.failed += u64::from(failure == AttemptFailure::ServerError);
        self.handle_event(attempt.host, Event::Failed { attempt: id, failure });
    }

    pub(super) fn first_byte_timeout(&mut self, id: AttemptId) {
        let is_waiting = |attempt: &Attempt| !attempt.ended && !attempt.first_byte;
        if self.attempts.get(&id).is_some_and(is_waiting) {
            self.send_cancellation(id);
            self.fail(id, AttemptFailure::TimedOut);
        }
    }

    pub(super) fn cancel(&mut self, id: AttemptId) {
        if self.attempts.get(&id).is_some_and(|attempt| !attempt.ended) {
            self.end(id);
            self.send_cancellation(id);
        }
    }

    fn end(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.ended = true;
            self.history[request_index(attempt.params.request)].running -= 1;
        }
    }

    fn send_cancellation(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get(&id) {
            let delay = self.spec.site.delay(attempt.host, attempt.params.engine);
            self.queue.push_after(delay, SimEvent::CancelAtEngine(id));
        }
    }

    pub(super) fn cancel_at_engine(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied().filter(|attempt| attempt.at_engine)
        else {
            return;
        };
        let engine = attempt.params.engine;
        let mut outputs = Vec::new();
        let work = self.engines[engine].cancel(id, self.queue.now(), &mut outputs);
        if let Some(work) = work {
            self.charge(id, work);
        }
        self.engine_changed(engine, outputs);
    }

    /// Fails the attempts across the cut links once the cut is detected.
    pub(super) fn start_cut(&mut self) {
        let across = self.attempts.iter().filter(|(_, attempt)| {
            !attempt.ended && self.is_cut(attempt.host, attempt.params.engine)
        });
        let across: Vec<AttemptId> = across.map(|(id, _)| *id).collect();
        for id in across {
            let failure = AttemptFailure::ServerDied;
            self.queue.push_after(CUT_DETECTION_DELAY, SimEvent::AttemptFailed(id, failure));
        }
    }

    pub(super) fn start_slowdown(&mut self, model: usize, factor: f64) {
        let slow = self.spec.site.engines.iter().position(|engine| engine.model == model);
        if let Some(engine) = slow {
            self.engines[engine].slowness = factor;
        }
    }

    fn record_exposure(&mut self, index: usize, params: AttemptParams) {
        if self.is_faulty(params) {
            self.exposed.insert(self.spec.arrivals[index].caller);
        }
    }

    fn is_faulty(&self, params: AttemptParams) -> bool {
        let now = self.queue.now();
        self.spec.fault.defect(params.model, params.next_version, now).is_some()
    }
}
