//! What an entry host does besides requests: timetables of shifts, reports to the store, expiry, waking up.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::ServiceId;
use foxtailhoist_model::stable_hash;
use foxtailhoist_rollout::shift::ShiftPhase;
use foxtailhoist_rollout::shift::ShiftReport;
use foxtailhoist_route::backends::RegistrationChange;
use http::StatusCode;
use tokio::task::spawn_local;

use crate::clock::unix_ms;
use crate::core::Core;
use crate::log_event::LogEvent;
use crate::store::StoreClient;

const TICK: Duration = Duration::from_millis(200);
/// Pause between two sweeps of unused connections.
const SWEEP: Duration = Duration::from_secs(1);
/// Difference between the time of day and the steady clock over a tick that means that the process stood still.
const WAKE_GAP: Duration = Duration::from_millis(1_000);
/// Longest time for a call that writes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time over which hosts spread a report that any of them may make, so that mostly only one makes it.
const REPORT_SPREAD_MS: u64 = 900;
/// Pause before a report is tried again.
const REPORT_RETRY: Duration = Duration::from_millis(1_200);
/// Reports of suspects that wait at most; later ones are dropped.
const SUSPECTS_MAX: usize = 64;
/// Pause between two reports of suspects.
const SUSPECT_PAUSE: Duration = Duration::from_millis(250);
const SPREAD_SEED: u64 = 0x7370_7264;

/// Reports under way, with the time at which each may be made again.
type Reports = BTreeMap<(ServiceId, u64), Instant>;

/// Runs the periodic duties for as long as the process runs.
pub(crate) async fn tick(core: Rc<Core>) {
    let mut swept = Instant::now();
    let mut last = (Instant::now(), unix_ms());
    let mut reports = Reports::new();
    loop {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        let now_ms = unix_ms();
        notice_wake(&core, last, now, now_ms);
        last = (now, now_ms);
        let expired = core.dispatcher.borrow_mut().backends_mut().expire_missing(now);
        for id in expired {
            core.log.write(&LogEvent::Server { id: &id, change: RegistrationChange::Removed });
        }
        core.apply_shifts(now);
        report_shifts(&core, &mut reports, now, now_ms);
        if now - swept >= SWEEP {
            core.pool.sweep();
            swept = now;
        }
    }
}

/// Reports contents that were running when servers died.
pub(crate) async fn report_suspects(core: Rc<Core>) {
    let mut client = StoreClient::new(core.cfg.store);
    loop {
        let next = core.suspects.borrow_mut().pop();
        let Some((content, deaths)) = next else {
            core.suspects_changed.notified().await;
            continue;
        };
        core.suspects.borrow_mut().truncate(SUSPECTS_MAX);
        let request = core.wire.report_suspect(content, deaths);
        match client.call(request, WRITE_TIMEOUT).await {
            // Another host saw a death of the same content: together they are two.
            Ok((StatusCode::CONFLICT, _)) if deaths == 1 => {
                core.dispatcher.borrow_mut().quarantine(content, Instant::now());
                core.suspects.borrow_mut().push((content, 2));
            }
            Ok((StatusCode::NOT_FOUND, _)) if deaths > 1 => {
                core.suspects.borrow_mut().push((content, 1));
            }
            Ok(_) => {}
            Err(e) => {
                log::warn!("event=suspect_not_reported content={content:016x} reason={e}");
            }
        }
        tokio::time::sleep(SUSPECT_PAUSE).await;
    }
}

/// The steady clock does not count the time in which the machine was suspended; the time of day does.
fn notice_wake(core: &Core, last: (Instant, u64), now: Instant, now_ms: u64) {
    let steady = now - last.0;
    let calendar = Duration::from_millis(now_ms.saturating_sub(last.1));
    let gap = calendar.saturating_sub(steady).max(steady.saturating_sub(TICK));
    if gap >= WAKE_GAP {
        core.log.write(&LogEvent::Woke { gap });
        core.woke.notify_waiters();
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
        let key = (service.clone(), report.revision);
        let due = match reports.get(&key) {
            Some(due) => *due,
            None => {
                if report.phase == ShiftPhase::RolledBack {
                    let (target_count, _) = shift.counts();
                    let (bad, answers) = (target_count.bad, target_count.all);
                    core.log.write(&LogEvent::ShiftWithdrawn { service, target, bad, answers });
                }
                now + delay(core, &report)
            }
        };
        if due <= now {
            reports.insert(key, now + REPORT_RETRY);
            spawn_local(report_shift(core.clone(), report));
        } else {
            reports.insert(key, due);
        }
    }
    // Reports at revisions that are gone are not due any more.
    let current: Vec<u64> = shifts.values().map(|shift| shift.order().revision).collect();
    reports.retain(|(_, revision), _| current.contains(revision));
}

/// A host's place in the order in which hosts make a report; a withdrawal is made at once.
fn delay(core: &Core, report: &ShiftReport) -> Duration {
    if report.phase == ShiftPhase::RolledBack {
        return Duration::ZERO;
    }
    let parts = [core.cfg.host.as_bytes(), report.service.as_bytes()];
    Duration::from_millis(stable_hash(SPREAD_SEED, &parts) % REPORT_SPREAD_MS)
}

async fn report_shift(core: Rc<Core>, report: ShiftReport) {
    let mut client = StoreClient::new(core.cfg.store);
    let request = core.wire.report_shift(&report);
    let service = &report.service;
    match client.call(request, WRITE_TIMEOUT).await {
        // A conflict means that another host was first; the watch shows what it wrote.
        Ok((status, _)) => {
            core.metrics.store_call("write");
            let (phase, status) = (report.phase, status.as_u16());
            core.log.write(&LogEvent::ShiftReported { service, phase, status });
        }
        Err(e) => {
            core.metrics.store_call("failed");
            log::warn!("event=shift_not_reported service={service} reason={:?}", e.to_string());
        }
    }
}
