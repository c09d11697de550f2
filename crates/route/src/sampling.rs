//! Sampling of answers for the rating service, within its rate limit.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::CallerId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::RequestId;
use foxtailhoist_model::TaskClass;

use crate::quality::AnswerRef;

/// Token bucket size: ratings that may be requested at once.
const BURST: f64 = 5.0;
/// Maximum number of answers with a pending verdict; the oldest is discarded first.
const MAX_PENDING: usize = 8192;
/// Time after which a pending verdict is discarded.
const VERDICT_TTL: Duration = Duration::from_secs(600);

/// Token bucket of rating requests, and the answers that are being rated.
#[derive(Debug)]
pub(crate) struct RatingSampler {
    per_second: f64,
    hosts: u32,
    tokens: f64,
    refilled: Option<Instant>,
    pending: BTreeMap<RequestId, PendingRating>,
    order: VecDeque<(Instant, RequestId)>,
}

/// An answer that is being rated.
#[derive(Clone, Debug)]
pub(crate) struct PendingRating {
    pub(crate) caller: CallerId,
    pub(crate) class: TaskClass,
    pub(crate) model_version: ModelVersion,
    pub(crate) kept: AnswerRef,
}

impl RatingSampler {
    pub(crate) fn new(per_second: f64) -> RatingSampler {
        RatingSampler {
            per_second,
            hosts: 1,
            tokens: BURST,
            refilled: None,
            pending: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Sets how many entry hosts share the rating service, this one included.
    pub(crate) fn set_host_count(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Number of live entry hosts, this one included.
    pub(crate) fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Takes a token for rating the answer, if allowed. `value` is the information expected from the verdict, from 0 to
    /// 1: a lower value requires a fuller bucket, so that more informative answers find a token.
    pub(crate) fn try_sample(
        &mut self,
        request: RequestId,
        sample: PendingRating,
        value: f64,
        now: Instant,
    ) -> bool {
        self.refill(now);
        let needed = 1.0 + (1.0 - value.clamp(0.0, 1.0)) * (BURST - 1.0);
        if self.tokens < needed {
            return false;
        }
        self.tokens -= 1.0;
        self.expire(now);
        self.pending.insert(request, sample);
        self.order.push_back((now, request));
        true
    }

    /// Removes and returns the answer that a verdict refers to.
    pub(crate) fn take(&mut self, request: RequestId) -> Option<PendingRating> {
        self.pending.remove(&request)
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Maximum number of answers with a pending verdict.
    pub(crate) fn capacity() -> usize {
        MAX_PENDING
    }

    fn refill(&mut self, now: Instant) {
        let since = self.refilled.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let rate = self.per_second / f64::from(self.hosts);
        self.tokens = (self.tokens + since * rate).min(BURST);
        self.refilled = Some(now);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((requested, request)) = self.order.front().copied() {
            let expired = now.saturating_duration_since(requested) > VERDICT_TTL;
            if !expired && self.order.len() < MAX_PENDING {
                break;
            }
            self.order.pop_front();
            self.pending.remove(&request);
        }
    }
}
