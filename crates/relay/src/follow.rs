//! Follows the store's objects: a list, then watches from its revision, and what to believe when the store is away.
//!
//! Each kind has a task of its own. A watch waits for a short time only, since an open connection may go silent for
//! good. After an outage, entries of servers that are missing may only have lapsed: they stay in use for a while.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::BackendServerId;
use foxtailhoist_rollout::shift::Shift;
use foxtailhoist_rollout::shift::ShiftOrder;
use foxtailhoist_route::backends::ListingChange;
use http::StatusCode;
use rand::RngExt;

use crate::clock::unix_ms;
use crate::core::Core;
use crate::log_event::LogEvent;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::wire::Content;
use crate::wire::ObjectKind;
use crate::wire::Page;
use crate::wire::Record;

/// Wait of one watch for the kinds on whose news bounds depend; a silent connection is noticed after this time.
const SHORT_WATCH: Duration = Duration::from_millis(2_500);
/// Wait of one watch for the other kinds.
const LONG_WATCH: Duration = Duration::from_millis(8_000);
/// Time beyond its wait after which a watch counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(700);
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
    loop {
        let revision = match list(&core, &mut client, kind, &presence).await {
            Ok(revision) => revision,
            Err(e) => {
                presence.failed(&core, kind, &e).await;
                continue;
            }
        };
        presence.succeeded(&core, kind);
        watch(&core, &mut client, kind, &mut presence, revision).await;
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
        };
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
                revision = page.revision.max(revision);
                for record in page.records {
                    apply(core, kind, record, presence);
                }
            }
            // The history is gone: list again.
            Ok(None) => return,
            Err(e) => presence.failed(core, kind, &e).await,
        }
    }
}

/// Lists a kind whole; returns the revision from which to watch.
async fn list(
    core: &Rc<Core>,
    client: &mut StoreClient,
    kind: ObjectKind,
    presence: &Presence,
) -> Result<u64, StoreError> {
    let mut after: Option<String> = None;
    let mut revision = None;
    let mut names = BTreeSet::new();
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
        revision = Some(revision.unwrap_or(page.revision).min(page.revision));
        for record in page.records {
            names.insert(record.name.clone());
            apply(core, kind, record, presence);
        }
        match page.next {
            Some(next) => after = Some(next),
            None => break,
        }
    }
    drop_unlisted(core, kind, &names, presence);
    core.set_listed(kind);
    Ok(revision.unwrap_or(0))
}

fn apply(core: &Rc<Core>, kind: ObjectKind, record: Record, presence: &Presence) {
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
        Content::Deleted => forget(core, kind, name, presence, now),
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
        Some(shift) if shift.is_same(&order) => shift.update(order),
        _ => {
            shifts.insert(service.clone(), Shift::new(order, now, unix_ms()));
        }
    }
    drop(shifts);
    core.log.write(&LogEvent::Shift { service: &service, target: &target, phase });
    core.apply_shifts(now);
}

fn forget(core: &Rc<Core>, kind: ObjectKind, name: String, presence: &Presence, now: Instant) {
    match kind {
        ObjectKind::Servers => match presence.lapsed_until.filter(|until| now < *until) {
            Some(until) => keep_missing(core, BTreeSet::from([name]), until),
            None => {
                let mut dispatcher = core.dispatcher.borrow_mut();
                let change = dispatcher.backends_mut().unlist(&name);
                drop(dispatcher);
                log_server(core, &name, change);
            }
        },
        // What was accepted last stays in force.
        ObjectKind::Configuration | ObjectKind::Shifts | ObjectKind::Suspects => {}
    }
}

/// Servers that the whole list did not show.
fn drop_unlisted(
    core: &Rc<Core>,
    kind: ObjectKind,
    names: &BTreeSet<BackendServerId>,
    presence: &Presence,
) {
    if kind != ObjectKind::Servers {
        return;
    }
    let known: Vec<BackendServerId> = core.dispatcher.borrow().backends().ids().cloned().collect();
    let missing: BTreeSet<BackendServerId> =
        known.into_iter().filter(|id| !names.contains(id)).collect();
    let now = Instant::now();
    if presence.was_away(now) {
        keep_missing(core, missing, now + RELIST_TIME);
        return;
    }
    for name in missing {
        forget(core, kind, name, presence, now);
    }
}

fn keep_missing(core: &Rc<Core>, missing: BTreeSet<BackendServerId>, until: Instant) {
    for id in &missing {
        core.dispatcher.borrow_mut().backends_mut().keep_missing(id, until);
        log_server(core, id, ListingChange::Missing);
    }
}

fn log_server(core: &Core, id: &str, change: ListingChange) {
    if change != ListingChange::Unchanged {
        core.log.write(&LogEvent::Server { id, change });
    }
}

fn watch_time(kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Configuration | ObjectKind::Servers => SHORT_WATCH,
        ObjectKind::Shifts | ObjectKind::Suspects => LONG_WATCH,
    }
}

impl Presence {
    /// Whether the store has been away until now.
    fn was_away(&self, now: Instant) -> bool {
        self.failing_since.is_some_and(|since| now.saturating_duration_since(since) >= OUTAGE)
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
