//! Log lines: one variant for each decision that affects a request or changes the host's state.
//!
//! Lines of routine requests are sampled by request id, so that all lines of a sampled request are kept together. Above
//! a rate limit, lines are dropped and counted; the count is logged with the next line that is written.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::Refusal;
use foxtailhoist_model::StoreEra;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_model::stable_hash;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftPhase;
use foxtailhoist_route::backends::RegistrationChange;
use foxtailhoist_route::backends::warm_up::WarmUpSource;
use foxtailhoist_route::blame::Culprit;
use foxtailhoist_route::fair_share::ShareInForce;
use foxtailhoist_route::in_flight::Attempt;
use foxtailhoist_route::in_flight::AttemptOutcome;
use foxtailhoist_route::in_flight::InFlightRequest;

use crate::wire::ObjectKind;

/// Maximum number of workspaces that a line names.
const MAX_LOGGED_SHARES: usize = 8;

/// Sustained rate limit, in lines per second.
const LINES_PER_SECOND: f64 = 120.0;
/// Capacity of the token bucket: lines that may be written in one burst.
const BURST_LINES: f64 = 400.0;
/// One out of this many routine requests is logged.
const ROUTINE_SAMPLE_INTERVAL: u64 = 8;
const SAMPLE_SEED: u64 = 0x006c_6f67;

/// A log line.
#[derive(Debug)]
pub enum LogEvent<'a> {
    Started {
        host: &'a str,
        data_centre: &'a str,
    },
    Stopping,
    Stopped {
        /// Open connections from callers.
        open: usize,
        /// Those with a request in progress.
        cut: usize,
    },
    /// Settings were reloaded; those named take effect only after a restart.
    Reloaded {
        needs_restart: &'a [&'static str],
    },
    ReloadRefused {
        reason: &'a str,
    },
    Ready(bool),
    /// The process resumed after a suspension.
    Woke {
        gap: Duration,
    },
    StoreLost {
        kind: ObjectKind,
        reason: &'a str,
        /// Time since the failed call was made.
        waited: Duration,
    },
    StoreRegained {
        kind: ObjectKind,
        away: Duration,
    },
    /// The store was restored from a copy; `known` is 0 if no era was known.
    StoreEra {
        known: StoreEra,
        era: StoreEra,
    },
    /// Records from before a restore of the store were ignored.
    RecordsIgnored {
        kind: ObjectKind,
        records: usize,
        era: StoreEra,
    },
    /// Objects of a list that are not kept, since there are too many, or too many unreadable ones.
    RecordsDropped {
        kind: ObjectKind,
        records: usize,
    },
    Unreadable {
        kind: ObjectKind,
        name: &'a str,
        reason: &'a str,
    },
    Configured {
        version: u64,
        routes: usize,
    },
    ConfigurationIgnored {
        version: u64,
        in_force: u64,
    },
    Server {
        id: &'a str,
        change: RegistrationChange,
    },
    /// A server stated in an answer that it is leaving.
    ServerLeaving {
        id: &'a str,
    },
    /// A server asked for no requests for the stated time.
    ServerPaused {
        id: &'a str,
        stated: Duration,
        applied: Duration,
    },
    /// A server named another limit than before, in requests a second, or none any more.
    ServerLimited {
        id: &'a str,
        per_second: Option<f64>,
        /// Who was told by the server: `own` or `peer`.
        source: &'static str,
    },
    /// This host sends no more requests to a data centre; `servers` is the number that it has.
    EvacuationStarted {
        data_centre: &'a str,
        revision: StoreRevision,
        servers: usize,
    },
    /// No attempt of this host runs in an evacuated data centre any more.
    EvacuationInForce {
        data_centre: &'a str,
        revision: StoreRevision,
    },
    /// A data centre was taken back into service.
    EvacuationEnded {
        data_centre: &'a str,
        revision: StoreRevision,
    },
    /// A server is cold: this host sends it no more than its share of the requests that all hosts may.
    ServerCold {
        id: &'a str,
        source: WarmUpSource,
        /// Remaining time; `None` until it answers.
        left: Option<Duration>,
        /// Requests of this host in the present round of one second.
        share: u32,
    },
    /// A server has warmed up, or was removed.
    ServerWarm {
        id: &'a str,
    },
    /// A service is short of capacity and divided between workspaces; some are over their share.
    ShareInForce {
        share: &'a ShareInForce,
    },
    /// A probe could not connect to a silent server.
    ServerLost {
        id: &'a str,
        /// Time without any activity when it was probed.
        silence: Duration,
    },
    Shift {
        service: &'a str,
        target: &'a str,
        phase: Option<ShiftPhase>,
    },
    ShiftReported {
        service: &'a str,
        phase: ShiftPhase,
        status: u16,
    },
    ShiftWithdrawn {
        service: &'a str,
        target: &'a str,
        shift: &'a Shift,
    },
    /// A server was found dead that was beginning to answer this many requests.
    ServerDied {
        id: &'a str,
        requests: usize,
        /// Contents and parts of these requests that were answered soundly of late.
        sound: usize,
    },
    /// A content or part is suspected of this many crashes.
    Suspect {
        culprit: Culprit,
        crashes: usize,
    },
    Quarantined {
        culprit: Culprit,
        crashes: usize,
        /// Who saw the last crash: `own`, `peer` or, for a record without the crashes, `store`.
        source: &'static str,
    },
    /// A sound answer of this host cleared a culprit of crashes.
    Cleared {
        culprit: Culprit,
        crashes: usize,
    },
    /// A request with a quarantined part is sent, to learn whether the part still crashes servers.
    Trial {
        request: &'a str,
        culprit: Culprit,
    },
    /// A quarantined culprit was answered soundly elsewhere.
    Released {
        culprit: Culprit,
    },
    /// The findings on a quarantined culprit were dropped for lack of room.
    QuarantineDropped {
        culprit: Culprit,
    },
    /// This host started or stopped watching the store itself.
    Watching(bool),
    /// Another entry host became a source of store updates.
    Source {
        host: &'a str,
    },
    /// A source of store updates failed.
    SourceLost {
        host: &'a str,
        reason: &'a str,
    },
    /// An attempt ended without a complete answer.
    AttemptEnded {
        req: &'a InFlightRequest,
        attempt: &'a Attempt,
        outcome: AttemptOutcome,
        elapsed: Duration,
        /// Time since the head of its answer arrived.
        answering: Option<Duration>,
        reason: &'a str,
    },
    /// A request has its final answer.
    Answered {
        req: &'a InFlightRequest,
        status: u16,
        elapsed: Duration,
        model: Option<&'a str>,
        server: &'a str,
    },
    /// Another entry host answered the request.
    HandedOver {
        req: &'a InFlightRequest,
        host: &'a str,
        status: u16,
        elapsed: Duration,
    },
    /// The servers of a service cannot be reached from this host.
    CutOff {
        service: &'a str,
    },
    /// A server of a service was reached that was out of reach.
    ReachedAgain {
        service: &'a str,
        away: Duration,
    },
    /// A request was refused; `req` is absent if it was not admitted.
    Refused {
        id: &'a str,
        req: Option<&'a InFlightRequest>,
        refusal: &'a Refusal,
        elapsed: Duration,
    },
    /// A started stream could not be completed.
    StreamBroken {
        req: &'a InFlightRequest,
        /// Name of the refusal behind it, or `plain_answer` if the last server sent no stream.
        reason: &'a str,
        /// Outcome of the last attempt that was made.
        last_outcome: Option<AttemptOutcome>,
        elapsed: Duration,
        /// Time left until the deadline.
        left: Duration,
        stopping: bool,
        /// Time since the known state last matched the store.
        store_age: Option<Duration>,
    },
    /// This host closed a connection while a request was in progress on it.
    CallerClosed {
        request: &'a str,
        reason: &'a str,
        phase: &'a str,
        in_phase: Duration,
        /// Time since the request's head was read.
        elapsed: Option<Duration>,
    },
    CallerLeft {
        req: &'a InFlightRequest,
        elapsed: Duration,
    },
    Dropped {
        lines: u64,
    },
}

/// Writes log lines within the rate limit.
#[derive(Debug)]
pub struct EventLog {
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    dropped: Cell<u64>,
}

impl EventLog {
    #[must_use]
    pub fn new(now: Instant) -> EventLog {
        EventLog {
            tokens: Cell::new(BURST_LINES),
            refilled_at: Cell::new(now),
            dropped: Cell::new(0),
        }
    }

    /// Writes a line if it is sampled, or counts it as dropped above the rate limit.
    pub fn write(&self, event: &LogEvent<'_>) {
        if !event.is_sampled() || !self.take_token(Instant::now()) {
            return;
        }
        let dropped = self.dropped.take();
        if dropped > 0 {
            log::warn!("{}", LogEvent::Dropped { lines: dropped });
        }
        log::info!("{event}");
    }

    /// Takes a token for one line; if there is none, counts the line as dropped and returns false.
    #[must_use]
    pub fn take_token(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at.get()).as_secs_f64();
        let tokens = (self.tokens.get() + elapsed * LINES_PER_SECOND).min(BURST_LINES);
        self.refilled_at.set(now);
        if tokens < 1.0 {
            self.tokens.set(tokens);
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.tokens.set(tokens - 1.0);
        true
    }
}

impl LogEvent<'_> {
    /// Whether the line is selected for writing; only answers to routine requests are sampled.
    #[must_use]
    pub fn is_sampled(&self) -> bool {
        match self {
            LogEvent::Answered { req, status, .. } => {
                let is_routine = req.attempts <= 1 && *status < 400;
                !is_routine
                    || stable_hash(SAMPLE_SEED, &[req.id.as_bytes()])
                        .is_multiple_of(ROUTINE_SAMPLE_INTERVAL)
            }
            _ => true,
        }
    }
}

impl fmt::Display for LogEvent<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::Started { host, data_centre } => {
                write!(f, "event=started host={host} data_centre={data_centre}")
            }
            LogEvent::Stopping => write!(f, "event=stopping"),
            LogEvent::Stopped { open, cut } => {
                write!(f, "event=stopped open_connections={open} cut={cut}")
            }
            LogEvent::Reloaded { needs_restart } => {
                write!(f, "event=reloaded needs_restart={:?}", needs_restart.join(","))
            }
            LogEvent::ReloadRefused { reason } => {
                write!(f, "event=reload_refused reason={reason:?}")
            }
            LogEvent::Ready(ready) => write!(f, "event=ready value={ready}"),
            LogEvent::Woke { gap } => write!(f, "event=woke gap_ms={}", gap.as_millis()),
            LogEvent::StoreLost { kind, reason, waited } => {
                let waited_ms = waited.as_millis();
                write!(f, "event=store_lost kind={kind:?} reason={reason:?} waited_ms={waited_ms}")
            }
            LogEvent::StoreRegained { kind, away } => {
                write!(f, "event=store_regained kind={kind:?} away_ms={}", away.as_millis())
            }
            LogEvent::StoreEra { known, era } => {
                write!(f, "event=store_era known={known} era={era}")
            }
            LogEvent::RecordsIgnored { kind, records, era } => {
                write!(f, "event=records_ignored kind={kind:?} records={records} era={era}")
            }
            LogEvent::RecordsDropped { kind, records } => {
                write!(f, "event=records_dropped kind={kind:?} records={records}")
            }
            LogEvent::Unreadable { kind, name, reason } => {
                write!(f, "event=object_unreadable kind={kind:?} name={name:?} reason={reason:?}")
            }
            LogEvent::Configured { version, routes } => {
                write!(f, "event=configured version={version} routes={routes}")
            }
            LogEvent::ConfigurationIgnored { version, in_force } => {
                write!(f, "event=configuration_ignored version={version} in_force={in_force}")
            }
            LogEvent::Server { id, change } => write!(f, "event=server id={id} change={change:?}"),
            LogEvent::ServerLeaving { id } => write!(f, "event=server_leaving id={id}"),
            LogEvent::ServerPaused { id, stated, applied } => write!(
                f,
                "event=server_paused id={id} stated_ms={} applied_ms={}",
                stated.as_millis(),
                applied.as_millis()
            ),
            LogEvent::ServerLimited { id, per_second, source } => {
                let limit = per_second.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
                write!(f, "event=server_limited id={id} per_second={limit} source={source}")
            }
            LogEvent::EvacuationStarted { data_centre, revision, servers } => write!(
                f,
                "event=evacuation_started data_centre={data_centre:?} era={} revision={} servers={servers}",
                revision.era, revision.number,
            ),
            LogEvent::EvacuationInForce { data_centre, revision } => write!(
                f,
                "event=evacuation_in_force data_centre={data_centre:?} era={} revision={}",
                revision.era, revision.number,
            ),
            LogEvent::EvacuationEnded { data_centre, revision } => write!(
                f,
                "event=evacuation_ended data_centre={data_centre:?} era={} revision={}",
                revision.era, revision.number,
            ),
            LogEvent::ServerCold { id, source, left, share } => {
                let left =
                    left.map_or_else(|| "unknown".to_owned(), |left| left.as_millis().to_string());
                write!(f, "event=server_cold id={id} source={source} left_ms={left} share={share}")
            }
            LogEvent::ServerWarm { id } => write!(f, "event=server_warm id={id}"),
            LogEvent::ShareInForce { share } => {
                let ShareInForce { service, level, capacity, over } = share;
                write!(f, "event=share_in_force service={service} level={level:.1}")?;
                write!(f, " capacity={capacity:.1} workspaces_over={} over=", over.len())?;
                for (index, (workspace, demand)) in over.iter().take(MAX_LOGGED_SHARES).enumerate()
                {
                    let separator = if index == 0 { "" } else { "," };
                    write!(f, "{separator}{workspace}:{demand:.1}")?;
                }
                Ok(())
            }
            LogEvent::ServerLost { id, silence } => {
                write!(f, "event=server_lost id={id} silent_ms={}", silence.as_millis())
            }
            LogEvent::Shift { service, target, phase } => {
                write!(f, "event=shift service={service} target={target} phase={phase:?}")
            }
            LogEvent::ShiftReported { service, phase, status } => {
                write!(f, "event=shift_reported service={service} phase={phase:?} status={status}")
            }
            LogEvent::ShiftWithdrawn { service, target, shift } => {
                let (target_count, others) = shift.counts();
                let (failures, slowness) = shift.evidence().log_evidence();
                write!(
                    f,
                    "event=shift_withdrawn service={service} target={target} bad={} answers={} \
                     other_bad={} other_answers={} log_failures={failures:.1} log_slowness={slowness:.1}",
                    target_count.bad, target_count.total, others.bad, others.total,
                )?;
                let Some(conclusion) = shift.conclusion() else {
                    return Ok(());
                };
                write!(
                    f,
                    " cause={:?} route={} servers={} log_evidence={:.1}",
                    conclusion.cause,
                    conclusion.route.as_deref().unwrap_or("all"),
                    conclusion.servers,
                    conclusion.log_evidence,
                )
            }
            LogEvent::ServerDied { id, requests, sound } => {
                write!(f, "event=server_died id={id} requests={requests} sound={sound}")
            }
            LogEvent::Suspect { culprit, crashes } => {
                write!(f, "event=suspect culprit={culprit} crashes={crashes}")
            }
            LogEvent::Quarantined { culprit, crashes, source } => {
                write!(f, "event=quarantined culprit={culprit} crashes={crashes} source={source}")
            }
            LogEvent::Cleared { culprit, crashes } => {
                write!(f, "event=cleared culprit={culprit} crashes={crashes}")
            }
            LogEvent::Trial { request, culprit } => {
                write!(f, "event=trial request={request} culprit={culprit}")
            }
            LogEvent::Released { culprit } => {
                write!(f, "event=released culprit={culprit}")
            }
            LogEvent::QuarantineDropped { culprit } => {
                write!(f, "event=quarantine_dropped culprit={culprit}")
            }
            LogEvent::Watching(watching) => write!(f, "event=watching value={watching}"),
            LogEvent::Source { host } => write!(f, "event=source host={host}"),
            LogEvent::SourceLost { host, reason } => {
                write!(f, "event=source_lost host={host} reason={reason:?}")
            }
            LogEvent::AttemptEnded { req, attempt, outcome, elapsed, answering, reason } => {
                write!(
                    f,
                    "event=attempt_ended request={} content={:016x} attempt={} server={} model={} outcome={} \
                 ms={} answering_ms={} cost_ms={:.0}{} last_event={} reason={reason:?}",
                    req.id,
                    req.fingerprint(),
                    attempt.number,
                    attempt.server,
                    attempt.model.as_deref().unwrap_or("-"),
                    outcome.name(),
                    elapsed.as_millis(),
                    answering.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string()),
                    attempt.cost_ms,
                    cost_terms(attempt),
                    req.last_event().map_or_else(|| "-".to_owned(), |id| id.to_string()),
                )?;
                if *outcome == AttemptOutcome::Broken && !req.parts.is_empty() {
                    let parts: Vec<String> =
                        req.parts.iter().map(|part| format!("{:x}", part.id)).collect();
                    write!(f, " parts={}", parts.join(","))?;
                }
                Ok(())
            }
            LogEvent::HandedOver { req, host, status, elapsed } => write!(
                f,
                "event=handed_over request={} host={host} status={status} ms={}",
                req.id,
                elapsed.as_millis(),
            ),
            LogEvent::CutOff { service } => write!(f, "event=cut_off service={service}"),
            LogEvent::ReachedAgain { service, away } => {
                write!(f, "event=reached_again service={service} away_ms={}", away.as_millis())
            }
            LogEvent::Answered { req, status, elapsed, model, server } => {
                write!(
                    f,
                    "event=answered request={} route={} configuration={} status={status} attempts={} \
                 model={} server={server} ms={}",
                    req.id,
                    req.route.id,
                    req.table_version,
                    req.attempts,
                    model.unwrap_or("-"),
                    elapsed.as_millis(),
                )?;
                if let Some(answer) = req.low_confidence_answer() {
                    let (confidence, floor) = (answer.confidence, answer.floor);
                    let part = answer.floor_part;
                    write!(f, " kept_confidence={confidence} floor={floor} floor_part={part:.2}")?;
                }
                Ok(())
            }
            LogEvent::Refused { id, req, refusal, elapsed } => {
                write!(f, "event=refused request={id} kind={}", refusal.kind.name())?;
                if let Some(req) = req {
                    write!(
                        f,
                        " route={} configuration={} known={:?} attempts={}",
                        req.route.id, req.table_version, req.execution, req.attempts
                    )?;
                }
                if let Some(retry_after) = refusal.retry_after {
                    write!(f, " retry_after_ms={}", retry_after.as_millis())?;
                }
                if !refusal.message.is_empty() {
                    write!(f, " reason={:?}", refusal.message)?;
                }
                write!(f, " ms={}", elapsed.as_millis())
            }
            LogEvent::StreamBroken {
                req,
                reason,
                last_outcome,
                elapsed,
                left,
                stopping,
                store_age,
            } => write!(
                f,
                "event=stream_broken request={} route={} configuration={} attempts={} last_event={} reason={reason} \
                 last_outcome={} ms={} left_ms={} stopping={stopping} store_age_ms={}",
                req.id,
                req.route.id,
                req.table_version,
                req.attempts,
                req.last_event().map_or_else(|| "-".to_owned(), |id| id.to_string()),
                last_outcome.map_or("-", AttemptOutcome::name),
                elapsed.as_millis(),
                left.as_millis(),
                store_age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string()),
            ),
            LogEvent::CallerClosed { request, reason, phase, in_phase, elapsed } => write!(
                f,
                "event=caller_closed request={request} reason={reason} phase={phase} phase_ms={} ms={}",
                in_phase.as_millis(),
                elapsed.map_or_else(|| "-".to_owned(), |elapsed| elapsed.as_millis().to_string()),
            ),
            LogEvent::CallerLeft { req, elapsed } => write!(
                f,
                "event=caller_left request={} route={} attempts={} ms={}",
                req.id,
                req.route.id,
                req.attempts,
                elapsed.as_millis()
            ),
            LogEvent::Dropped { lines } => write!(f, "event=log_dropped lines={lines}"),
        }
    }
}

/// Terms of the cost of the chosen server, if the shared view was used, in milliseconds: queue, concurrency, prompt, saved
/// by the cache, memory, distance.
fn cost_terms(attempt: &Attempt) -> String {
    attempt.terms.map_or_else(String::new, |terms| {
        format!(
            " q={:.0} c={:.0} p={:.0} s={:.0} m={:.0} d={:.0}",
            terms.queue, terms.concurrency, terms.prompt, terms.saved, terms.memory, terms.distance
        )
    })
}
