//! Open connections of callers: what each is doing, and why this host closes one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_route::in_flight::CallerRequestId;
use foxtailhoist_route::routes::CallerLimits;
use tokio::task::AbortHandle;

use crate::answer_memory::AnswerShare;

/// Time for which a closing host keeps a connection that has just been opened: its first request may be on its way.
pub(crate) const CLOSING_IDLE: Duration = Duration::from_millis(500);

/// Time without a byte of a long answer taken after which its connection may be closed to make room for other answers. It
/// covers the retransmission of lost segments.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnPhase {
    /// No part of a next request has arrived.
    Idle,
    /// A request's head is arriving.
    Head,
    /// A request's body is arriving.
    Body,
    /// The request is complete and waits for its answer.
    Waiting,
    /// The answer is being sent.
    Answer,
}

/// Why this host closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    HeaderTimeout,
    IdleTimeout,
    /// The caller took nothing of a long answer, and there was no memory for other answers.
    Unread,
    /// There were too many connections.
    TooMany,
    /// The host is stopping and the connection is idle.
    Stopping,
    /// The grace period is over.
    GraceOver,
}

/// State of a caller's connection, from which its timeouts are computed.
#[derive(Debug)]
pub(crate) struct CallerConn {
    /// Address of the other end; `None` for a request that another host handed over.
    address: Option<IpAddr>,
    phase: Cell<ConnPhase>,
    /// When the current phase began, or when the connection was last written to.
    since: Cell<Instant>,
    /// Whether a request was read.
    is_used: Cell<bool>,
    /// Whether bytes of a next request arrived before the end of the answer.
    has_early_bytes: Cell<bool>,
    /// Whether a request was refused before all of it was read.
    is_refused: Cell<bool>,
    /// Memory of a long answer until the caller has taken it.
    answer_share: RefCell<Option<AnswerShare>>,
    /// Whether bytes of an answer wait until the caller takes more. The answer's body has ended by then.
    is_unsent: Cell<bool>,
    /// When the head of the request in progress was read.
    request_since: Cell<Option<Instant>>,
    /// The request in progress, once its head has been read.
    request: RefCell<Option<CallerRequestId>>,
}

/// A connection that is open.
#[derive(Debug)]
struct OpenCaller {
    state: Rc<CallerConn>,
    /// The task that serves it; `None` for a request that another host handed over.
    task: Option<AbortHandle>,
}

/// The open connections.
#[derive(Debug, Default)]
pub(crate) struct CallerConns {
    conns: RefCell<BTreeMap<u64, OpenCaller>>,
    next_key: Cell<u64>,
}

impl ConnPhase {
    /// Name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ConnPhase::Idle => "idle",
            ConnPhase::Head => "head",
            ConnPhase::Body => "body",
            ConnPhase::Waiting => "waiting",
            ConnPhase::Answer => "answer",
        }
    }
}

impl CloseReason {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            CloseReason::HeaderTimeout => "header_timeout",
            CloseReason::IdleTimeout => "idle_timeout",
            CloseReason::Unread => "unread",
            CloseReason::TooMany => "too_many",
            CloseReason::Stopping => "stopping",
            CloseReason::GraceOver => "grace_over",
        }
    }
}

impl CallerConn {
    pub(crate) fn new(address: Option<IpAddr>, now: Instant) -> CallerConn {
        CallerConn {
            address,
            phase: Cell::new(ConnPhase::Idle),
            since: Cell::new(now),
            is_used: Cell::new(false),
            has_early_bytes: Cell::new(false),
            is_refused: Cell::new(false),
            answer_share: RefCell::new(None),
            is_unsent: Cell::new(false),
            request_since: Cell::new(None),
            request: RefCell::new(None),
        }
    }

    pub(crate) fn address(&self) -> Option<IpAddr> {
        self.address
    }

    /// Records that a request is refused before all of it was read.
    pub(crate) fn set_refused(&self) {
        self.is_refused.set(true);
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    pub(crate) fn phase(&self) -> ConnPhase {
        self.phase.get()
    }

    /// Keeps the memory of a long answer reserved until the caller has taken it.
    pub(crate) fn hold_answer(&self, share: AnswerShare) {
        if share.is_counted() {
            *self.answer_share.borrow_mut() = Some(share);
        }
    }

    /// Whether the caller has taken nothing of a long answer for [`UNREAD_TIMEOUT`].
    fn is_unread(&self) -> bool {
        self.phase.get() == ConnPhase::Idle
            && self.answer_share.borrow().is_some()
            && self.since.get().elapsed() >= UNREAD_TIMEOUT
    }

    /// Whether there is no request in progress and all answers are sent.
    fn is_idle(&self) -> bool {
        self.phase.get() == ConnPhase::Idle && !self.is_unsent.get()
    }

    pub(crate) fn since(&self) -> Instant {
        self.since.get()
    }

    /// Id of the request in progress, `-` if its head has not been read.
    pub(crate) fn request(&self) -> String {
        self.request.borrow().clone().unwrap_or_else(|| "-".to_owned())
    }

    /// Time since the head of the request in progress was read.
    pub(crate) fn request_age(&self) -> Option<Duration> {
        self.request_since.get().map(|since| since.elapsed())
    }

    /// Records that the head of a request was read.
    pub(crate) fn request_began(&self) {
        self.is_used.set(true);
        self.request_since.set(Some(Instant::now()));
        self.enter(ConnPhase::Body);
    }

    pub(crate) fn set_request(&self, id: &CallerRequestId) {
        *self.request.borrow_mut() = Some(id.clone());
    }

    pub(crate) fn enter(&self, phase: ConnPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Records that the answer was sent: the connection is idle, unless a next request has begun to arrive.
    pub(crate) fn answer_ended(&self) {
        self.request.take();
        self.request_since.set(None);
        let is_idle = !self.has_early_bytes.take();
        self.enter(if is_idle { ConnPhase::Idle } else { ConnPhase::Head });
    }

    /// Why the connection is to be closed, if a timeout has passed.
    pub(crate) fn overdue(&self, limits: &CallerLimits, is_closing: bool) -> Option<CloseReason> {
        let (limit, reason) = match self.phase.get() {
            ConnPhase::Idle if is_closing && !self.is_used.get() => {
                (CLOSING_IDLE.min(limits.idle_timeout), CloseReason::Stopping)
            }
            ConnPhase::Head => (limits.header_timeout, CloseReason::HeaderTimeout),
            // A connection with a request in progress is closed behind its answer.
            _ if is_closing => return Some(CloseReason::Stopping),
            ConnPhase::Idle => (limits.idle_timeout, CloseReason::IdleTimeout),
            ConnPhase::Body | ConnPhase::Waiting | ConnPhase::Answer => return None,
        };
        (self.since.get().elapsed() >= limit).then_some(reason)
    }

    /// Records that bytes arrived.
    pub(crate) fn on_read(&self) {
        match self.phase.get() {
            ConnPhase::Idle => self.enter(ConnPhase::Head),
            ConnPhase::Waiting | ConnPhase::Answer => self.has_early_bytes.set(true),
            ConnPhase::Head | ConnPhase::Body => {}
        }
    }

    /// Restarts the idle timeout: a connection whose answer is still being written is not idle.
    pub(crate) fn on_write(&self) {
        self.is_unsent.set(true);
        if self.phase.get() == ConnPhase::Idle {
            self.since.set(Instant::now());
        }
    }

    /// Records that everything written so far is with the kernel.
    pub(crate) fn on_flush(&self) {
        self.is_unsent.set(false);
        // Before the body has ended, what is written so far is only a part of the answer.
        if matches!(self.phase.get(), ConnPhase::Idle | ConnPhase::Head) {
            self.answer_share.take();
        }
    }
}

impl CallerConns {
    /// Adds a connection; returns the key that removes it.
    pub(crate) fn add(&self, conn: Rc<CallerConn>) -> u64 {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        self.conns.borrow_mut().insert(key, OpenCaller { state: conn, task: None });
        key
    }

    pub(crate) fn remove(&self, key: u64) {
        self.conns.borrow_mut().remove(&key);
    }

    pub(crate) fn len(&self) -> usize {
        self.conns.borrow().len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.conns.borrow().is_empty()
    }

    /// Connections with a request in progress.
    pub(crate) fn in_progress(&self) -> Vec<Rc<CallerConn>> {
        let conns = self.conns.borrow();
        let states = conns.values().map(|conn| &conn.state);
        states.filter(|state| state.phase() != ConnPhase::Idle).cloned().collect()
    }

    /// Sets the task that serves a connection.
    pub(crate) fn set_task(&self, key: u64, task: AbortHandle) {
        if let Some(conn) = self.conns.borrow_mut().get_mut(&key) {
            conn.task = Some(task);
        }
    }

    /// Closes the connection whose caller has taken nothing of a long answer for longest, if that is too long; returns
    /// whether there was one.
    pub(crate) fn close_unread(&self) -> bool {
        let mut conns = self.conns.borrow_mut();
        let unread = conns.iter().filter(|(_, conn)| conn.task.is_some() && conn.state.is_unread());
        let longest = unread.min_by_key(|(_, conn)| conn.state.since()).map(|(key, _)| *key);
        let Some(conn) = longest.and_then(|key| conns.remove(&key)) else {
            return false;
        };
        // The task ends only when the runtime gets to it.
        conn.state.answer_share.take();
        if let Some(task) = conn.task {
            task.abort();
        }
        true
    }

    /// Closes the connection that has been idle for longest; returns whether there was one.
    pub(crate) fn close_idle(&self) -> bool {
        let mut conns = self.conns.borrow_mut();
        let idle = conns.iter().filter(|(_, conn)| conn.task.is_some() && conn.state.is_idle());
        let longest = idle.min_by_key(|(_, conn)| conn.state.since()).map(|(key, _)| *key);
        let closed = longest.and_then(|key| conns.remove(&key));
        if let Some(task) = closed.as_ref().and_then(|conn| conn.task.as_ref()) {
            task.abort();
        }
        closed.is_some()
    }
}
