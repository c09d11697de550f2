//! Follows the store's objects: lists each kind, then watches it from the list's revision.
//!
//! Each kind has a task of its own, which is idle while this host receives updates from other hosts. A watch waits only
//! for a short time, since an open connection may silently stop responding for good. After an outage of the store, or a
//! restore from a copy, missing registrations of servers may merely have expired: the servers stay in use for a while.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::StoreRevision;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_route::backends::RegistrationChange;
use foxtailhoist_route::blame::QUARANTINE_CRASHES;
use http::StatusCode;
use rand::RngExt;

use crate::clock::unix_ms;
use crate::core::Core;
use crate::core::SuspectReport;
use crate::log_event::LogEvent;
use crate::mirror::Frame;
use crate::mirror::MAX_OBJECTS;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::store_availability::RELIST_WINDOW;
use crate::wire::Content;
use crate::wire::ObjectKind;
use crate::wire::Page;
use crate::wire::Record;

/// Time beyond its wait after which a watch times out.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Delay after a change before the next watch; well below the time after which leaving servers must get no new
/// requests.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// Delay after a change of the configuration, of which only the newest version matters.
const CONFIGURATION_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of unreadable objects of which a list keeps the name and the reason.
const MAX_UNREADABLE: usize = 256;
/// Number of evacuations of unknown data centres above which no line is written about these.
const MAX_UNKNOWN_EVACUATIONS: usize = 16;
/// Timeout of one call that lists objects.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Backoff after the first failed call.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum backoff after failed calls.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(900);
/// Maximum time for which the other kinds wait for the configuration's calls to succeed, in case that only these fail.
const MAX_SHARED_BACKOFF: Duration = Duration::from_millis(3_000);
/// Number of failed calls in a row after which the store counts as turning this host away.
const TURNED_AWAY_FAILURES: u32 = 3;
/// Upper bound of the random delay before a kind is listed after a restore of the store.
const RESTORED_LIST_SPREAD: Duration = Duration::from_millis(300);

/// Success of the calls for one kind.
#[derive(Debug, Default)]
struct CallHealth {
    failing_since: Option<Instant>,
    failures: u32,
    /// Failed calls since the last answer, usable or not.
    refusals: u32,
}

/// Follows one kind until the process ends.
pub(crate) async fn follow(core: Rc<Core>, kind: ObjectKind) {
    let mut client = StoreClient::new(core.cfg.store);
    let mut health = CallHealth::default();
    let mut watching = core.watching.subscribe();
    loop {
        // The sender is in the core and lives as long as this task.
        let _ = watching.wait_for(|watching| *watching).await;
        let work = follow_while_watching(&core, &mut client, kind, &mut health);
        tokio::select! {
            () = work => {}
            _ = watching.wait_for(|watching| !*watching) => {}
        }
    }
}

/// Lists all objects of a kind once, without watching it. With `allow_stale`, the list may be seconds old: it only adds
/// objects, and the kind still counts as not listed.
pub(crate) async fn list_once(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    allow_stale: bool,
) -> Result<(), StoreError> {
    list(core, client, kind, None, allow_stale).await.map(|_| ())
}

/// Applies a feed frame received from another entry host.
pub(crate) fn apply_frame(core: &Rc<Core>, frame: Frame) {
    match frame {
        // Another host's settings may name a kind that those of this host do not.
        Frame::Whole { kind, .. } | Frame::Changes { kind, .. } if !core.follows(kind) => {}
        Frame::Whole { kind, records, revision, keep_for } => {
            if is_current(core, kind, &records, revision) {
                apply_snapshot(core, kind, records, revision, keep_for);
            }
        }
        Frame::Changes { kind, records, revision } => {
            if is_current(core, kind, &records, revision) {
                apply_changes(core, kind, records, revision);
            }
        }
        Frame::Beat { .. } => {}
    }
}

/// Whether a frame's sender knows of the last restore of the store; it may know of a later one than this host.
fn is_current(core: &Core, kind: ObjectKind, records: &[Record], revision: StoreRevision) -> bool {
    let era = revision.era;
    core.note_store_era(era);
    let is_current = era == core.store_era();
    if !is_current {
        let records = records.len();
        core.log.write(&LogEvent::RecordsIgnored { kind, records, era });
    }
    is_current
}

async fn follow_while_watching(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    health: &mut CallHealth,
) {
    // State received from other hosts makes the first list unnecessary.
    let mut revision = core.mirror.revision(kind);
    loop {
        let era = core.store_era();
        let known = core.mirror.revision(kind);
        if core.mirror.is_behind(kind, era) {
            let delay = RESTORED_LIST_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
            tokio::time::sleep(delay).await;
        }
        let called = Instant::now();
        let from = match revision.take().filter(|revision| revision.era == era) {
            Some(revision) => revision,
            None => match list(core, client, kind, core.keep_missing_for(), false).await {
                Ok(revision) => {
                    health.succeeded(core, kind);
                    if known.is_some_and(|known| known.era < revision.era) {
                        core.store_availability.borrow_mut().restored(Instant::now());
                    }
                    revision
                }
                Err(e) => {
                    health.failed(core, kind, &e, called.elapsed()).await;
                    continue;
                }
            },
        };
        watch(core, client, kind, health, from).await;
    }
}

/// Watches until the kind has to be listed again.
async fn watch(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    health: &mut CallHealth,
    mut revision: StoreRevision,
) {
    while revision.era == core.store_era() {
        let wait = core.watch_waits.of(kind);
        let request = core.wire.watch(kind, revision, wait);
        let called = Instant::now();
        let call = client.call(core, request, wait + WATCH_MARGIN);
        let answer = tokio::select! {
            answer = call => answer,
            () = core.resumed.notified() => return,
            () = core.store_restored.notified() => return,
            () = core.watches_doubtful.notified() => continue,
        };
        // A timeout of the configuration's watch renews the watches of all kinds.
        if kind == ObjectKind::Configuration && answer.as_ref().is_err_and(StoreError::is_silence) {
            // Other open connections to the store may have stopped responding, too.
            core.watches_doubtful.notify_waiters();
        }
        let page = answer.and_then(|answer| match answer.status {
            // After a restore, changes since the revision are not those that this host lacks.
            _ if answer.era > revision.era => Ok(None),
            StatusCode::GONE => Ok(None),
            StatusCode::OK => {
                let page = core.wire.decode_watch(kind, answer.era, &answer.body);
                page.map(|page| Some(page).filter(|page| page.revision >= revision))
                    .map_err(|e| StoreError::Unreadable(e.0))
            }
            other => Err(StoreError::Status(other)),
        });
        match page {
            Ok(Some(page)) => {
                core.metrics.store_call("watch");
                health.succeeded(core, kind);
                mark_fresh(core, kind);
                revision = page.revision;
                let records = mark_expired(page.records, core.keep_missing_for());
                let has_changes = !records.is_empty();
                apply_changes(core, kind, records, revision);
                if has_changes {
                    // Changes come in bursts, each call has a cost, and each batch of updates goes to all hosts.
                    tokio::time::sleep(batch_delay(kind)).await;
                }
            }
            // The store does not have the history since the revision: list again.
            Ok(None) => return,
            Err(e) => {
                health.failed(core, kind, &e, called.elapsed()).await;
                if e.fails_again() {
                    // A list comes in pages of bounded size.
                    tokio::time::sleep(batch_delay(kind)).await;
                    return;
                }
            }
        }
    }
}

/// Lists all objects of a kind; returns the revision from which to watch. With `keep_for`, missing objects may merely
/// have expired and are kept for that time.
async fn list(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    keep_for: Option<Duration>,
    allow_stale: bool,
) -> Result<StoreRevision, StoreError> {
    let mut after: Option<String> = None;
    let mut revision: Option<StoreRevision> = None;
    let mut records = Vec::new();
    let (mut unreadable, mut dropped) = (0, 0);
    loop {
        let request = core.wire.list(kind, after.as_deref(), allow_stale);
        let answer = client.call(core, request, LIST_TIMEOUT).await?;
        let page = match answer.status {
            StatusCode::OK => {
                let page = core.wire.decode_list(kind, answer.era, &answer.body);
                page.map_err(|e| StoreError::Unreadable(e.0))?
            }
            // No object of the kind has been created yet.
            StatusCode::NOT_FOUND if after.is_none() => {
                Page { revision: StoreRevision { era: answer.era, number: 0 }, ..Page::default() }
            }
            status => return Err(StoreError::Status(status)),
        };
        core.metrics.store_call("list");
        if revision.is_some_and(|revision| revision.era < page.revision.era) {
            return Err(StoreError::EarlierEra);
        }
        revision = Some(revision.map_or(page.revision, |revision| revision.min(page.revision)));
        for record in page.records {
            unreadable += usize::from(record.is_unreadable());
            let is_excess = record.is_unreadable() && unreadable > MAX_UNREADABLE;
            if is_excess || records.len() >= MAX_OBJECTS {
                dropped += 1;
            } else {
                records.push(record);
            }
        }
        match page.next {
            Some(next) if after.as_ref().is_some_and(|after| next <= *after) => {
                return Err(StoreError::Unreadable("the list does not go on".to_owned()));
            }
            Some(next) => after = Some(next),
            None => break,
        }
    }
    if dropped > 0 {
        core.log.write(&LogEvent::RecordsDropped { kind, records: dropped });
    }
    if allow_stale {
        for record in records {
            if let Some(update) = core.mirror.update(kind, record) {
                apply_record(core, kind, update);
            }
        }
        return Ok(revision.unwrap_or_default());
    }
    let revision = revision.unwrap_or_default();
    if kind == ObjectKind::Suspects && core.mirror.is_behind(kind, revision.era) {
        put_back_suspects(core, &records);
    }
    mark_fresh(core, kind);
    apply_snapshot(core, kind, records, revision, keep_for);
    Ok(revision)
}

/// Applies a complete list of a kind; known objects that it lacks are treated as deleted. What a restored store lacks
/// may be put back.
fn apply_snapshot(
    core: &Rc<Core>,
    kind: ObjectKind,
    records: Vec<Record>,
    revision: StoreRevision,
    keep_for: Option<Duration>,
) {
    let is_restored = core.mirror.is_behind(kind, revision.era);
    let keep_for = if is_restored { Some(RELIST_WINDOW) } else { keep_for };
    if is_restored && kind == ObjectKind::Servers {
        let mut dispatcher = core.dispatcher.borrow_mut();
        dispatcher.backends_mut().extend_missing(Instant::now() + RELIST_WINDOW);
    }
    let names: BTreeSet<String> = records.iter().map(|record| record.name.clone()).collect();
    let missing = core.mirror.missing(kind, &names, revision);
    let deleted = missing.into_iter().map(|name| Record {
        name,
        revision,
        content: Content::Deleted { keep_for, started_ms: None },
    });
    let records = records.into_iter().chain(deleted).collect();
    let updates = update(core, kind, records, revision);
    // A subscriber counts a kind as listed, and learns what a restored store lacks, only from a snapshot.
    if is_restored || !core.is_listed(kind) {
        core.set_listed(kind);
        core.mirror.publish(&core.mirror.snapshot(kind, keep_for));
    } else if !updates.is_empty() {
        core.mirror.publish(&Frame::Changes { kind, records: updates, revision });
    }
}

/// Applies changes in order and forwards those that are new.
fn apply_changes(core: &Rc<Core>, kind: ObjectKind, records: Vec<Record>, revision: StoreRevision) {
    let updates = update(core, kind, records, revision);
    if !updates.is_empty() {
        core.mirror.publish(&Frame::Changes { kind, records: updates, revision });
    }
}

/// Applies records in order and returns those that are new; of several records of one object only the last is applied. A
/// removal has the revision of the answer that brought it, which may be that of a registration after it.
fn update(
    core: &Rc<Core>,
    kind: ObjectKind,
    records: Vec<Record>,
    revision: StoreRevision,
) -> Vec<Record> {
    let last: BTreeMap<String, usize> =
        records.iter().enumerate().map(|(index, record)| (record.name.clone(), index)).collect();
    let updates: Vec<Record> = records
        .into_iter()
        .enumerate()
        .filter(|(index, record)| last.get(&record.name) == Some(index))
        .map(|(_, record)| record)
        .filter_map(|record| {
            let version = record.configuration_version();
            let update = core.mirror.update(kind, record)?;
            let in_force = update.configuration_version().filter(|kept| Some(*kept) > version);
            if let (Some(version), Some(in_force)) = (version, in_force) {
                core.log.write(&LogEvent::ConfigurationIgnored { version, in_force });
            }
            Some(update)
        })
        .collect();
    for record in &updates {
        apply_record(core, kind, record.clone());
    }
    core.mirror.set_revision(kind, revision);
    updates
}

/// Reports again the suspects, and the deaths, that a restored store lacks.
fn put_back_suspects(core: &Core, restored: &[Record]) {
    let restored: BTreeMap<&str, u32> = restored
        .iter()
        .filter_map(|record| match record.content {
            Content::Suspect { deaths, .. } => Some((record.name.as_str(), deaths)),
            _ => None,
        })
        .collect();
    for record in core.mirror.live_records(ObjectKind::Suspects) {
        let Content::Suspect { culprit, deaths } = record.content else {
            continue;
        };
        if restored.get(record.name.as_str()).is_none_or(|restored| *restored < deaths) {
            let due = Instant::now();
            core.report_suspect(SuspectReport { culprit, deaths, is_known: true, due });
        }
    }
}

/// Records that the state is current. Only the configuration counts, since its watches wait the shortest time.
fn mark_fresh(core: &Core, kind: ObjectKind) {
    if kind == ObjectKind::Configuration {
        core.mirror.set_fresh(Instant::now());
    }
    if kind == ObjectKind::Evacuations {
        core.evacuations_listed_at.set(Some(Instant::now()));
    }
}

fn apply_record(core: &Rc<Core>, kind: ObjectKind, record: Record) {
    let now = Instant::now();
    let name = record.name;
    match record.content {
        Content::Configuration(table) => {
            let version = table.version;
            let routes = table.route_count();
            let mut dispatcher = core.dispatcher.borrow_mut();
            if dispatcher.configure(Arc::from(table)) {
                core.log.write(&LogEvent::Configured { version, routes });
            } else if let Some(in_force) =
                dispatcher.table().map(|table| table.version).filter(|present| *present > version)
            {
                core.log.write(&LogEvent::ConfigurationIgnored { version, in_force });
            }
        }
        Content::Server(listing) => {
            let id = listing.id.clone();
            let change = core.dispatcher.borrow_mut().backends_mut().register(listing, now);
            log_server(core, &id, change);
            if change == RegistrationChange::Restarted {
                core.dispatcher.borrow_mut().server_died(&id, now);
                core.handle_notifications();
            }
        }
        Content::Shift(order) => apply_shift(core, order, now),
        Content::Suspect { culprit, deaths } => {
            let crashes = usize::try_from(deaths).unwrap_or(usize::MAX);
            let mut dispatcher = core.dispatcher.borrow_mut();
            if crashes >= QUARANTINE_CRASHES && !dispatcher.is_quarantined(culprit, now) {
                dispatcher.quarantine(culprit, now);
                if dispatcher.is_quarantined(culprit, now) {
                    core.log.write(&LogEvent::Quarantined { culprit, crashes, source: "store" });
                }
            }
        }
        Content::Evacuation { unreadable } => {
            if let Some(reason) = &unreadable {
                core.metrics.evacuation_unreadable();
                if is_evacuation_logged(core, &name) {
                    core.log.write(&LogEvent::Unreadable { kind, name: &name, reason });
                }
            }
            start_evacuation(core, name, record.revision);
        }
        Content::Host(entry) => core.feeds.borrow_mut().add_host(name, entry),
        Content::Deleted { keep_for, .. } => apply_deletion(core, kind, &name, keep_for, now),
        Content::Unreadable(reason) => {
            let reason = &reason;
            core.log.write(&LogEvent::Unreadable { kind, name: &name, reason });
        }
    }
}

fn apply_shift(core: &Rc<Core>, order: ShiftOrder, now: Instant) {
    let mut shifts = core.shifts.borrow_mut();
    let target = order.target.clone();
    let service = order.service.clone();
    let phase = order.phase;
    match shifts.get_mut(&order.service) {
        Some(shift) if shift.is_same_order(&order) => shift.update(order),
        known => {
            let is_restored = known.is_some_and(|shift| shift.is_restored(&order));
            // The operator may write the order again that the restored store lacks.
            let mut suspended = core.suspended_shifts.borrow_mut();
            let shift = match suspended.remove(&service) {
                Some(mut shift) if shift.is_restored(&order) && shift.is_same_order(&order) => {
                    shift.update(order);
                    shift
                }
                _ => Shift::new(order, now, unix_ms()),
            };
            if let Some(known) = shifts.insert(service.clone(), shift).filter(|_| is_restored) {
                suspended.insert(service.clone(), known);
            }
        }
    }
    drop(shifts);
    core.log.write(&LogEvent::Shift { service: &service, target: &target, phase });
    core.apply_shifts(now);
}

fn apply_deletion(
    core: &Rc<Core>,
    kind: ObjectKind,
    name: &str,
    keep_for: Option<Duration>,
    now: Instant,
) {
    match kind {
        ObjectKind::Servers => {
            let mut dispatcher = core.dispatcher.borrow_mut();
            let backends = dispatcher.backends_mut();
            let change = match keep_for {
                Some(keep_for) => {
                    backends.mark_missing(name, now + keep_for);
                    RegistrationChange::Missing
                }
                None => backends.deregister(name),
            };
            drop(dispatcher);
            log_server(core, name, change);
        }
        ObjectKind::Hosts => core.feeds.borrow_mut().remove_host(name),
        ObjectKind::Evacuations => end_evacuation(core, name, now),
        // The last accepted content stays in force.
        ObjectKind::Configuration | ObjectKind::Shifts | ObjectKind::Suspects => {}
    }
}

/// Whether lines about an evacuation are written; another writer may flood the kind with names of no data centre.
fn is_evacuation_logged(core: &Core, data_centre: &str) -> bool {
    let dispatcher = core.dispatcher.borrow();
    let backends = dispatcher.backends();
    backends.server_count_in(data_centre) > 0
        || backends.evacuation_counts().1 <= MAX_UNKNOWN_EVACUATIONS
}

fn start_evacuation(core: &Core, data_centre: String, revision: StoreRevision) {
    let mut dispatcher = core.dispatcher.borrow_mut();
    let backends = dispatcher.backends_mut();
    let servers = backends.server_count_in(&data_centre);
    let is_new = backends.evacuate(data_centre.clone(), revision);
    drop(dispatcher);
    if is_new && is_evacuation_logged(core, &data_centre) {
        let data_centre = &data_centre;
        core.log.write(&LogEvent::EvacuationStarted { data_centre, revision, servers });
    }
}

fn end_evacuation(core: &Core, data_centre: &str, now: Instant) {
    let is_logged = is_evacuation_logged(core, data_centre);
    let ended = core.dispatcher.borrow_mut().backends_mut().end_evacuation(data_centre, now);
    if ended && is_logged {
        let revision = core.mirror.revision(ObjectKind::Evacuations).unwrap_or_default();
        core.log.write(&LogEvent::EvacuationEnded { data_centre, revision });
    }
}

/// Ends evacuations that a restored store lacks.
pub(crate) fn end_lost_evacuations(core: &Rc<Core>, names: Vec<String>) {
    let kind = ObjectKind::Evacuations;
    let revision = core.mirror.revision(kind).unwrap_or_default();
    let content = Content::Deleted { keep_for: None, started_ms: None };
    let deleted = |name| Record { name, revision, content: content.clone() };
    apply_changes(core, kind, names.into_iter().map(deleted).collect(), revision);
}

fn log_server(core: &Core, id: &str, change: RegistrationChange) {
    if change != RegistrationChange::Unchanged {
        core.log.write(&LogEvent::Server { id, change });
    }
}

fn batch_delay(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration => CONFIGURATION_BATCH_DELAY,
        ObjectKind::Servers
        | ObjectKind::Shifts
        | ObjectKind::Suspects
        | ObjectKind::Hosts
        | ObjectKind::Evacuations => BATCH_DELAY,
    }
}

/// Marks deletions that may merely be expirations.
fn mark_expired(mut records: Vec<Record>, keep_missing_for: Option<Duration>) -> Vec<Record> {
    for record in &mut records {
        if let Content::Deleted { keep_for, .. } = &mut record.content {
            *keep_for = keep_missing_for;
        }
    }
    records
}

impl CallHealth {
    fn succeeded(&mut self, core: &Core, kind: ObjectKind) {
        let now = Instant::now();
        let was_silent = core.store_availability.borrow_mut().call_succeeded(now);
        if was_silent {
            // The store may never answer the watches that were made while it was silent.
            core.watches_doubtful.notify_waiters();
        }
        if kind == ObjectKind::Configuration {
            core.store_availability.borrow_mut().set_turned_away(false);
            core.feeds.borrow_mut().set_turned_away(false);
            core.store_regained.notify_waiters();
        }
        if let Some(since) = self.failing_since.take() {
            core.log.write(&LogEvent::StoreRegained { kind, away: now - since });
        }
        self.failures = 0;
        self.refusals = 0;
    }

    /// Records that a call failed after it had `waited`, and waits before the next one.
    async fn failed(&mut self, core: &Core, kind: ObjectKind, e: &StoreError, waited: Duration) {
        core.metrics.store_call("failed");
        core.store_availability.borrow_mut().call_failed(e, Instant::now());
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            core.log.write(&LogEvent::StoreLost { kind, reason: &e.to_string(), waited });
        }
        let backoff =
            MIN_RETRY_BACKOFF.saturating_mul(1 << self.failures.min(5)).min(MAX_RETRY_BACKOFF);
        self.failures += 1;
        self.refusals = if e.is_unusable_answer() { 0 } else { self.refusals + 1 };
        let jitter = rand::rng().random_range(0.5..1.0);
        if kind == ObjectKind::Configuration && self.refusals >= TURNED_AWAY_FAILURES {
            core.store_availability.borrow_mut().set_turned_away(true);
            core.feeds.borrow_mut().set_turned_away(true);
        }
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        // The configuration's calls show when the store answers again; calls for the other kinds would be charged, too.
        let is_turned_away = core.store_availability.borrow().is_turned_away();
        let has_many_centres = core.feeds.borrow().has_many_centres();
        if kind != ObjectKind::Configuration && is_turned_away && has_many_centres {
            let regained = core.store_regained.notified();
            let _ = tokio::time::timeout(MAX_SHARED_BACKOFF.mul_f64(jitter), regained).await;
        }
    }
}
