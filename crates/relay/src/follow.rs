//! Follows the store's objects: a list, then watches from its revision, and what to believe when the store is away.
//!
//! Each kind has a task of its own, which rests while this host takes the news from others. A watch waits for a short
//! time only, since an open connection may go silent for good. After an outage, entries of servers that are missing may
//! only have lapsed: they stay in use for a while.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_route::backends::ListingChange;
use http::StatusCode;
use rand::RngExt;

use crate::clock::unix_ms;
use crate::core::Core;
use crate::log_event::LogEvent;
use crate::mirror::Frame;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::wire::Content;
use crate::wire::ObjectKind;
use crate::wire::Page;
use crate::wire::Record;

/// Wait of one watch for the configuration: a silent connection is noticed after this time, on all kinds.
const CONFIGURATION_WATCH: Duration = Duration::from_millis(1_000);
/// Wait of one watch for the servers, whose news come often anyway.
const SERVERS_WATCH: Duration = Duration::from_millis(5_000);
/// Wait of one watch for the other kinds.
const LONG_WATCH: Duration = Duration::from_millis(20_000);
/// Time beyond its wait after which a watch counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Pause after a change before the next watch, well below the time in which servers that leave must be left alone.
const GATHER: Duration = Duration::from_millis(300);
/// The same for configurations, of which only the newest counts.
const GATHER_CONFIGURATIONS: Duration = Duration::from_millis(150);
/// Longest time for a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// First pause after a failed call and the longest one.
const RETRY_MIN: Duration = Duration::from_millis(60);
const RETRY_MAX: Duration = Duration::from_millis(900);
/// Time without a good call from which on the store counts as having been away.
const OUTAGE: Duration = Duration::from_millis(1_000);
/// Time after the store's return in which servers that live are listed again.
const RELIST_TIME: Duration = Duration::from_millis(2_200);

/// What is known of the store's presence.
#[derive(Debug, Default)]
struct Presence {
    failing_since: Option<Instant>,
    failures: u32,
    /// Missing entries may have lapsed until then.
    lapsed_until: Option<Instant>,
}

/// Follows one kind for as long as the process runs.
pub(crate) async fn follow(core: Rc<Core>, kind: ObjectKind) {
    let mut client = StoreClient::new(core.cfg.store);
    let mut presence = Presence::default();
    let mut watching = core.watching.subscribe();
    loop {
        // The sender lives in the core, as long as this task.
        let _ = watching.wait_for(|watching| *watching).await;
        let work = follow_while_watching(&core, &mut client, kind, &mut presence);
        tokio::select! {
            () = work => {}
            _ = watching.wait_for(|watching| !*watching) => {}
        }
    }
}

/// Lists a kind once.
pub(crate) async fn list_once(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
) -> Result<(), StoreError> {
    list(core, client, kind, None).await.map(|_| ())
}

/// Takes in news of another entry host.
pub(crate) fn take_frame(core: &Rc<Core>, frame: Frame) {
    match frame {
        Frame::Whole { kind, records, revision, keep_for } => {
            take_whole(core, kind, records, revision, keep_for);
        }
        Frame::Changes { kind, records, revision } => take_changes(core, kind, records, revision),
        Frame::Beat { .. } => {}
    }
}

async fn follow_while_watching(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    presence: &mut Presence,
) {
    // What other hosts told is followed up without a list.
    let mut revision = core.mirror.revision(kind);
    loop {
        let from = match revision.take() {
            Some(revision) => revision,
            None => match list(core, client, kind, presence.keep_for(Instant::now())).await {
                Ok(revision) => {
                    presence.succeeded(core, kind);
                    revision
                }
                Err(e) => {
                    presence.failed(core, kind, &e).await;
                    continue;
                }
            },
        };
        watch(core, client, kind, presence, from).await;
    }
}

/// Watches until the kind has to be listed again.
async fn watch(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    presence: &mut Presence,
    mut revision: u64,
) {
    loop {
        let wait = watch_time(kind);
        let request = core.wire.watch(kind, revision, wait);
        let call = client.call(request, wait + WATCH_MARGIN);
        let answer = tokio::select! {
            answer = call => answer,
            () = core.woke.notified() => return,
            () = core.store_silent.notified() => continue,
        };
        if kind == ObjectKind::Configuration && matches!(answer, Err(StoreError::NoAnswer(_))) {
            // Other open connections to the store may have gone silent, too.
            core.store_silent.notify_waiters();
        }
        let page = answer.and_then(|(status, body)| match status {
            StatusCode::GONE => Ok(None),
            StatusCode::OK => {
                let page = core.wire.decode_watch(kind, &body);
                page.map(Some).map_err(|e| StoreError::Unreadable(e.0))
            }
            other => Err(StoreError::Status(other)),
        });
        match page {
            Ok(Some(page)) => {
                core.metrics.store_call("watch");
                presence.succeeded(core, kind);
                note_fresh(core, kind);
                revision = page.revision.max(revision);
                let records = presence.mark_lapsed(page.records, Instant::now());
                let has_news = !records.is_empty();
                take_changes(core, kind, records, revision);
                if has_news {
                    // Changes come in clusters; each call has its price, and each piece of news goes to all hosts.
                    tokio::time::sleep(gather_time(kind)).await;
                }
            }
            // The history is gone: list again.
            Ok(None) => return,
            Err(e) => presence.failed(core, kind, &e).await,
        }
    }
}

/// Lists a kind whole; returns the revision from which to watch. What is missing may have lapsed for `keep_for`.
async fn list(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    keep_for: Option<Duration>,
) -> Result<u64, StoreError> {
    let mut after: Option<String> = None;
    let mut revision = u64::MAX;
    let mut records = Vec::new();
    loop {
        let request = core.wire.list(kind, after.as_deref());
        let page = match client.call(request, LIST_TIMEOUT).await? {
            (StatusCode::OK, body) => {
                core.wire.decode_list(kind, &body).map_err(|e| StoreError::Unreadable(e.0))?
            }
            // Nobody has made an object of the kind yet.
            (StatusCode::NOT_FOUND, _) => Page::default(),
            (status, _) => return Err(StoreError::Status(status)),
        };
        core.metrics.store_call("list");
        revision = revision.min(page.revision);
        records.extend(page.records);
        match page.next {
            Some(next) => after = Some(next),
            None => break,
        }
    }
    note_fresh(core, kind);
    take_whole(core, kind, records, revision, keep_for);
    Ok(revision)
}

/// Takes in all objects of a kind.
fn take_whole(
    core: &Rc<Core>,
    kind: ObjectKind,
    records: Vec<Record>,
    revision: u64,
    keep_for: Option<Duration>,
) {
    let names: BTreeSet<String> = records.iter().map(|record| record.name.clone()).collect();
    let missing = core.mirror.missing(kind, &names, revision);
    let deleted = missing.into_iter().map(|name| Record {
        name,
        revision,
        content: Content::Deleted { keep_for },
    });
    take_changes(core, kind, records.into_iter().chain(deleted).collect(), revision);
    if !core.is_listed(kind) {
        core.set_listed(kind);
        core.mirror.publish(&core.mirror.whole(kind, keep_for));
    }
}

/// Takes in changes, in order, and passes on what is news; of several changes of one object the last one counts.
fn take_changes(core: &Rc<Core>, kind: ObjectKind, records: Vec<Record>, revision: u64) {
    let last: BTreeMap<String, u64> =
        records.iter().map(|record| (record.name.clone(), record.revision)).collect();
    let news: Vec<Record> = records
        .into_iter()
        .filter(|record| last.get(&record.name) == Some(&record.revision))
        .filter(|record| core.mirror.take(kind, record))
        .collect();
    for record in &news {
        apply(core, kind, record.clone());
    }
    core.mirror.set_revision(kind, revision);
    if !news.is_empty() {
        core.mirror.publish(&Frame::Changes { kind, records: news, revision });
    }
}

fn note_fresh(core: &Core, kind: ObjectKind) {
    if kind == ObjectKind::Configuration {
        core.mirror.set_fresh(Instant::now());
    }
}

fn apply(core: &Rc<Core>, kind: ObjectKind, record: Record) {
    let now = Instant::now();
    let name = record.name;
    match record.content {
        Content::Configuration(table) => {
            let version = table.version;
            let routes = table.routes();
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
            let change = core.dispatcher.borrow_mut().backends_mut().list(listing, now);
            log_server(core, &id, change);
            if change == ListingChange::Restarted {
                core.dispatcher.borrow_mut().server_died(&id, now);
                core.handle_notes();
            }
        }
        Content::Shift(order) => apply_shift(core, order, now),
        Content::Suspect { content, deaths } => {
            let mut dispatcher = core.dispatcher.borrow_mut();
            if deaths >= 2 {
                dispatcher.quarantine(content, now);
            } else {
                dispatcher.suspect(content, now);
            }
            core.log.write(&LogEvent::Suspect { content, deaths });
        }
        Content::Host(entry) => core.feeds.borrow_mut().add_host(name, entry),
        Content::Deleted { keep_for } => forget(core, kind, &name, keep_for, now),
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
        _ => {
            shifts.insert(service.clone(), Shift::new(order, now, unix_ms()));
        }
    }
    drop(shifts);
    core.log.write(&LogEvent::Shift { service: &service, target: &target, phase });
    core.apply_shifts(now);
}

fn forget(core: &Rc<Core>, kind: ObjectKind, name: &str, keep_for: Option<Duration>, now: Instant) {
    match kind {
        ObjectKind::Servers => {
            let mut dispatcher = core.dispatcher.borrow_mut();
            let backends = dispatcher.backends_mut();
            let change = match keep_for {
                Some(keep_for) => {
                    backends.keep_missing(name, now + keep_for);
                    ListingChange::Missing
                }
                None => backends.unlist(name),
            };
            drop(dispatcher);
            log_server(core, name, change);
        }
        ObjectKind::Hosts => core.feeds.borrow_mut().remove_host(name),
        // What was accepted last stays in force.
        ObjectKind::Configuration | ObjectKind::Shifts | ObjectKind::Suspects => {}
    }
}

fn log_server(core: &Core, id: &str, change: ListingChange) {
    if change != ListingChange::Unchanged {
        core.log.write(&LogEvent::Server { id, change });
    }
}

fn watch_time(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration => CONFIGURATION_WATCH,
        ObjectKind::Servers => SERVERS_WATCH,
        ObjectKind::Shifts | ObjectKind::Suspects | ObjectKind::Hosts => LONG_WATCH,
    }
}

fn gather_time(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration => GATHER_CONFIGURATIONS,
        ObjectKind::Servers | ObjectKind::Shifts | ObjectKind::Suspects | ObjectKind::Hosts => {
            GATHER
        }
    }
}

impl Presence {
    /// Whether the store has been away until now.
    fn was_away(&self, now: Instant) -> bool {
        self.failing_since.is_some_and(|since| now.saturating_duration_since(since) >= OUTAGE)
    }

    /// How long entries that are missing now may only have lapsed.
    fn keep_for(&self, now: Instant) -> Option<Duration> {
        if self.was_away(now) {
            return Some(RELIST_TIME);
        }
        let left = self.lapsed_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Marks deletions that may only be lapses.
    fn mark_lapsed(&self, mut records: Vec<Record>, now: Instant) -> Vec<Record> {
        let left = self.keep_for(now);
        for record in &mut records {
            if let Content::Deleted { keep_for } = &mut record.content {
                *keep_for = left;
            }
        }
        records
    }

    fn succeeded(&mut self, core: &Core, kind: ObjectKind) {
        let now = Instant::now();
        if self.was_away(now) {
            self.lapsed_until = Some(now + RELIST_TIME);
        }
        if let Some(since) = self.failing_since.take() {
            core.log.write(&LogEvent::StoreRegained { kind, away: now - since });
        }
        self.failures = 0;
    }

    /// Notes a failed call and waits before the next one.
    async fn failed(&mut self, core: &Core, kind: ObjectKind, e: &StoreError) {
        core.metrics.store_call("failed");
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            core.log.write(&LogEvent::StoreLost { kind, reason: &e.to_string() });
        }
        let pause = RETRY_MIN.saturating_mul(1 << self.failures.min(5)).min(RETRY_MAX);
        self.failures += 1;
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}
