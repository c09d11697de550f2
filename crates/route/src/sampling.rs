//! Which answers go to the rating service, within its rate.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::TaskClass;

use crate::quality::AnswerRef;

/// Ratings that may be asked for at once.
const BURST: f64 = 5.0;
/// Answers whose verdict is awaited; the oldest is given up first.
const MAX_AWAITED: usize = 8192;
/// Longest wait for a verdict.
const VERDICT_TTL: Duration = Duration::from_secs(600);

/// Bucket of ratings, and the answers that are being rated.
#[derive(Debug)]
pub(crate) struct Sampling {
    per_second: f64,
    hosts: u32,
    tokens: f64,
    refilled: Option<Instant>,
    awaited: BTreeMap<RequestId, Sample>,
    order: VecDeque<(Instant, RequestId)>,
}

/// An answer that is being rated.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    pub(crate) caller: CallerId,
    pub(crate) class: TaskClass,
    pub(crate) model_version: ModelVersion,
    pub(crate) kept: AnswerRef,
}

impl Sampling {
    pub(crate) fn new(per_second: f64) -> Sampling {
        Sampling {
            per_second,
            hosts: 1,
            tokens: BURST,
            refilled: None,
            awaited: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Takes in how many entry hosts share the rating service, this one included.
    pub(crate) fn share_with(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Entry hosts alive, this one included.
    pub(crate) fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Whether the answer may be rated; `worth` below 1 leaves room for answers that tell more.
    pub(crate) fn offer(
        &mut self,
        request: RequestId,
        sample: Sample,
        worth: f64,
        now: Instant,
    ) -> bool {
        self.refill(now);
        let needed = 1.0 + (1.0 - worth.clamp(0.0, 1.0)) * (BURST - 1.0);
        if self.tokens < needed {
            return false;
        }
        self.tokens -= 1.0;
        self.expire(now);
        self.awaited.insert(request, sample);
        self.order.push_back((now, request));
        true
    }

    /// Takes the answer to which a verdict belongs.
    pub(crate) fn take(&mut self, request: RequestId) -> Option<Sample> {
        self.awaited.remove(&request)
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Most answers whose verdict is awaited.
    pub(crate) fn capacity() -> usize {
        MAX_AWAITED
    }

    fn refill(&mut self, now: Instant) {
        let since = self.refilled.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let rate = self.per_second / f64::from(self.hosts);
        self.tokens = (self.tokens + since * rate).min(BURST);
        self.refilled = Some(now);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((asked, request)) = self.order.front().copied() {
            let expired = now.saturating_duration_since(asked) > VERDICT_TTL;
            if !expired && self.order.len() < MAX_AWAITED {
                break;
            }
            self.order.pop_front();
            self.awaited.remove(&request);
        }
    }
}
