//! Background work of an entry host: schedules of shifts, reports to the store, expiration, detection of suspensions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::StoreRevision;
use foxtailhoist_model::stable_hash;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftPhase;
use foxtailhoist_rollout::shift::ShiftReport;
use foxtailhoist_route::backends::RegistrationChange;
use http::StatusCode;
use tokio::task::spawn_local;

use crate::clock::unix_ms;
use crate::core::Core;
use crate::core::SuspectReport;
use crate::follow;
use crate::log_event::LogEvent;
use crate::request_guard::probe_server;
use crate::store::StoreClient;
use crate::wire::ObjectKind;

const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The process counts as suspended if, over a tick, the wall clock advanced this much more than the monotonic clock, or
/// if the tick came this late.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Timeout of a call that writes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before a report is retried.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Delay before a suspect report that failed is sent again.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Interval between suspect reports.
const SUSPECT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which an evacuation that a restored store lacks stays in force, as a multiple of the time within which one
/// must come into force: 30 s for 5 s. The operator writes it again within seconds, and a data centre that is taken back
/// too late costs only capacity.
const LOST_EVACUATION_FACTOR: u32 = 6;
const SPREAD_SEED: u64 = 0x7370_7264;

/// Pending reports by service and revision of the order, with the time at which each may be sent or resent.
type Reports = BTreeMap<(ServiceId, StoreRevision), Instant>;

/// Evacuations that the restored store lacks, each with the time at which it ends.
type LostEvacuations = BTreeMap<DataCentreId, Instant>;

/// Runs the periodic tasks until the process ends.
pub(crate) async fn run_periodic(core: Rc<Core>) {
    let mut swept_at = Instant::now();
    let mut last = (Instant::now(), unix_ms());
    let mut reports = Reports::new();
    let mut lost_evacuations = LostEvacuations::new();
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = Instant::now();
        let now_ms = unix_ms();
        detect_resume(&core, last, now, now_ms);
        last = (now, now_ms);
        core.dispatcher.borrow_mut().set_unix_time(now, Duration::from_millis(now_ms));
        let expired = core.dispatcher.borrow_mut().backends_mut().expire_missing(now);
        for id in expired {
            core.log.write(&LogEvent::Server { id: &id, change: RegistrationChange::Removed });
        }
        probe_services(&core, now);
        core.dispatcher.borrow_mut().settle_blame(now);
        core.handle_notifications();
        core.apply_shifts(now);
        report_shifts(&core, &mut reports, now, now_ms);
        if let Some(within) = core.cfg.evacuate_within {
            log_drained(&core);
            let keep_for = within * LOST_EVACUATION_FACTOR;
            end_lost_evacuations(&core, &mut lost_evacuations, now, keep_for);
        }
        if now - swept_at >= SWEEP_INTERVAL {
            core.pool.sweep();
            measure_evacuations(&core, now);
            swept_at = now;
        }
    }
}

/// Logs data centres in which no attempt of this host runs since their evacuation started.
fn log_drained(core: &Core) {
    let drained = core.dispatcher.borrow_mut().backends_mut().take_drained();
    for (data_centre, revision) in drained {
        core.log.write(&LogEvent::EvacuationInForce { data_centre: &data_centre, revision });
    }
}

/// Ends evacuations that a restored store has lacked for a time.
fn end_lost_evacuations(
    core: &Rc<Core>,
    lost: &mut LostEvacuations,
    now: Instant,
    keep_for: Duration,
) {
    let missing = core.mirror.lost_in_restore(ObjectKind::Evacuations);
    let missing: BTreeSet<String> = missing.into_iter().map(|record| record.name).collect();
    lost.retain(|name, _| missing.contains(name));
    for name in missing {
        lost.entry(name).or_insert(now + keep_for);
    }
    let due = lost.iter().filter(|(_, until)| **until <= now);
    let due: Vec<DataCentreId> = due.map(|(name, _)| name.clone()).collect();
    if !due.is_empty() {
        follow::end_lost_evacuations(core, due);
    }
}

fn measure_evacuations(core: &Core, now: Instant) {
    if core.follows(ObjectKind::Evacuations) {
        let (known, unknown) = core.dispatcher.borrow().backends().evacuation_counts();
        core.metrics.evacuations(known, unknown, core.evacuations_age(now));
    }
}

/// Probes servers of services that are, or may be, out of reach.
fn probe_services(core: &Rc<Core>, now: Instant) {
    let probes = core.dispatcher.borrow_mut().take_reach_probes(now);
    for probe in probes {
        spawn_local(probe_server(core.clone(), probe));
    }
}

/// Reports quarantined culprits to the store, for hosts that start later.
pub(crate) async fn report_suspects(core: Rc<Core>) {
    let mut client = StoreClient::new(core.cfg.store);
    loop {
        let next = core.suspects.borrow_mut().pop_front();
        let Some(report) = next else {
            core.suspects_changed.notified().await;
            continue;
        };
        tokio::time::sleep_until(report.due.into()).await;
        let SuspectReport { culprit, deaths, is_known, .. } = report;
        if !is_known && !core.dispatcher.borrow().is_quarantined(culprit, Instant::now()) {
            continue;
        }
        let mut request = core.wire.create_suspect(culprit, deaths);
        loop {
            let call = client.call(&core, request, WRITE_TIMEOUT).await;
            match call.map(|answer| answer.status) {
                Ok(StatusCode::CONFLICT) if is_outdated(&core, &report) => {
                    request = core.wire.replace_suspect(culprit, deaths);
                    continue;
                }
                Ok(status) if !status.is_server_error() => {}
                outcome => {
                    let reason = match outcome {
                        Ok(status) => status.to_string(),
                        Err(e) => e.to_string(),
                    };
                    log::warn!("event=suspect_not_reported culprit={culprit} reason={reason:?}");
                    let due = Instant::now() + SUSPECT_RETRY_DELAY;
                    core.report_suspect(SuspectReport { due, ..report });
                }
            }
            break;
        }
        tokio::time::sleep(SUSPECT_REPORT_INTERVAL).await;
    }
}

/// Whether the store's record of a culprit states fewer deaths than a report. What is known here may be from before a
/// restore of the store.
fn is_outdated(core: &Core, report: &SuspectReport) -> bool {
    let known = core.mirror.suspect_deaths(report.culprit);
    known < Some(report.deaths) || (report.is_known && known == Some(report.deaths))
}

/// Signals and logs that the process resumed after a suspension. The wall clock advances while the system is suspended,
/// the monotonic clock does not.
fn detect_resume(core: &Core, last: (Instant, u64), now: Instant, now_ms: u64) {
    let monotonic = now - last.0;
    let wall_clock = Duration::from_millis(now_ms.saturating_sub(last.1));
    let gap = wall_clock.saturating_sub(monotonic).max(monotonic.saturating_sub(TICK_INTERVAL));
    if gap >= SUSPENSION_THRESHOLD {
        core.log.write(&LogEvent::Woke { gap });
        core.resumed.notify_waiters();
        core.news_missed.notify_one();
    }
}

fn report_shifts(core: &Rc<Core>, reports: &mut Reports, now: Instant, now_ms: u64) {
    let shifts = core.shifts.borrow();
    for (service, shift) in shifts.iter() {
        let target = &shift.order().target;
        let has_target = core.dispatcher.borrow().backends().has_version(service, target);
        let Some(report) = shift.due_report(has_target, now, now_ms) else {
            continue;
        };
        if report.revision.era < core.store_era() {
            // The revision may have been given out again, to another order.
            continue;
        }
        let key = (service.clone(), report.revision);
        let due = match reports.get(&key) {
            Some(due) => *due,
            None => {
                if report.phase == ShiftPhase::RolledBack {
                    core.log.write(&LogEvent::ShiftWithdrawn { service, target, shift });
                }
                now + report_delay(core, &report, shift, now)
            }
        };
        if due <= now {
            reports.insert(key, now + REPORT_RETRY_DELAY);
            spawn_local(report_shift(core.clone(), report));
        } else {
            reports.insert(key, due);
        }
    }
    // Reports for superseded revisions are no longer due.
    let current: Vec<StoreRevision> = shifts.values().map(|shift| shift.order().revision).collect();
    reports.retain(|(_, revision), _| current.contains(revision));
}

/// How long this host waits before it sends a report; a withdrawal is reported at once.
fn report_delay(core: &Core, report: &ShiftReport, shift: &Shift, now: Instant) -> Duration {
    if shift.is_withdrawn() {
        return Duration::ZERO;
    }
    let parts = [core.cfg.host.as_bytes(), report.service.as_bytes()];
    shift.report_spread(now).mul_f64(stable_hash(SPREAD_SEED, &parts) as f64 / u64::MAX as f64)
}

async fn report_shift(core: Rc<Core>, report: ShiftReport) {
    let mut client = StoreClient::new(core.cfg.store);
    let request = core.wire.report_shift(&report);
    let service = &report.service;
    match client.call(&core, request, WRITE_TIMEOUT).await {
        // A conflict means that another host reported first; the watch delivers what it wrote.
        Ok(answer) => {
            core.metrics.store_call("write");
            let (phase, status) = (report.phase, answer.status.as_u16());
            core.log.write(&LogEvent::ShiftReported { service, phase, status });
        }
        Err(e) => {
            core.metrics.store_call("failed");
            log::warn!("event=shift_not_reported service={service} reason={:?}", e.to_string());
        }
    }
}
