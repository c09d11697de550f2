//! Fair shares of a service between workspaces while the service is short of capacity.
//!
//! Load addressed: a workspace that sends several times its usual rate takes what the others need. While the servers
//! reject requests or requests would miss their targets by waiting, each workspace gets its max-min fair share by
//! demand (Bertsekas and Gallager, "Data Networks", 1992): a workspace that asks for less than an equal share gets all of
//! it, and what it leaves is divided among the others. A workspace over its share has its least urgent requests refused
//! first, and of these the longest.
//!
//! Use is measured in the cost of requests, as demand on arrival and as served when an answer begins. Hosts tell each
//! other both while the service is short, so no host coordinates. The capacity is what the fleet serves, and is raised
//! while no server is short, until all demand fits: then nothing is refused any more.

mod level;
mod rate;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_model::DataCentreId;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use self::level::fair_level;
use self::rate::Rate;
use self::rate::SlowRate;

/// Cost of an output token in prompt tokens: engines process a prompt in parallel and generate tokens one by one.
const OUTPUT_TOKEN_COST: f64 = 10.0;
/// Estimated slot time, in seconds, of a plain service's request.
const SLOT_TIME: Cost = 0.1;
/// Weight of the last request in the mean of actual to estimated cost.
const CORRECTION_WEIGHT: f64 = 0.1;
/// Bounds of that mean.
const MIN_CORRECTION: f64 = 0.01;
const MAX_CORRECTION: f64 = 100.0;
/// Rejections of about a second from which on a service is short; one rejection may be due to a single server.
const MIN_REJECTIONS: f64 = 1.5;
/// Rejections per attempt from which on a service is short.
const MIN_REJECTED_SHARE: f64 = 0.1;
/// Answers of about a second that are needed to tell that a plain service is late.
const MIN_ANSWERS: f64 = 3.0;
/// Demand of a workspace, as a multiple of its share, up to which nothing is refused: rates of single requests vary.
const TOLERANCE: f64 = 1.2;
/// The same for a host that knows of no other host's use.
const OWN_VIEW_TOLERANCE: f64 = 2.0;
/// Requests of about a second that a workspace must have sent to a host that knows of no other host's use.
const OWN_VIEW_REQUESTS: f64 = 3.0;
/// Time after a sign of shortage in which the capacity is not raised.
const SIGN_VALIDITY: Duration = Duration::from_millis(500);
/// Part of what is served that is given out while there are signs of shortage, so that the servers' queues shrink and no
/// longer reject requests of workspaces within their shares.
const DRAINING_PART: f64 = 0.9;
/// Growth of that part, times the square of the seconds without a sign of shortage: slow while other hosts may have seen
/// signs that this one has not heard of, and fast once the servers take all.
const GROWTH: f64 = 0.06;
/// Age above which what other hosts told is ignored: their next message is overdue.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Interval of the messages.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest span over which the retries of a workspace's callers are spread.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(5);
/// Maximum number of workspaces of which a host keeps or tells the use of a service.
pub const MAX_WORKSPACES: usize = 256;
/// Maximum number of services that a report adds to; the configuration names fewer.
const MAX_KNOWN_SERVICES: usize = 256;
/// Maximum number of services in a message.
pub const MAX_SERVICES: usize = 64;

/// Cost of a request: prompt tokens and weighted output tokens at engines, seconds of a slot at plain services.
pub type Cost = f64;

/// Use of one service on one or several hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// Cost that the servers take per second.
    pub served: f32,
    /// Time since the last sign of shortage.
    pub quiet: Duration,
    /// Cost per second that each workspace asks for.
    pub demand: BTreeMap<WorkspaceId, f32>,
}

/// Use of each service that is short.
pub type UseReport = BTreeMap<ServiceId, ServiceUse>;

/// Whose use a report states.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reporter {
    /// One host, to the host that sums for its data centre.
    Host(EntryHostId),
    /// All hosts of another data centre, from the host that sums for it.
    DataCentre(DataCentreId),
    /// All other hosts, from the host that sums for the own data centre.
    Others,
}

/// What a workspace's request is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Estimate on arrival.
    pub cost: Cost,
    /// Uniformly distributed hash of the request.
    pub hash: u64,
}

/// A share in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareInForce {
    pub service: ServiceId,
    /// Cost per second that a workspace may use.
    pub level: f64,
    pub capacity: f64,
    /// Workspaces over it with their demand.
    pub over: BTreeMap<WorkspaceId, f64>,
}

/// Use of the services and the shares of the workspaces.
#[derive(Debug, Default)]
pub struct FairShares {
    services: BTreeMap<ServiceId, ServiceShares>,
}

#[derive(Debug, Default)]
struct ServiceShares {
    workspaces: BTreeMap<WorkspaceId, WorkspaceUse>,
    /// Of all workspaces, for those of which no request has ended.
    correction: Correction,
    served: SlowRate,
    attempts: Rate,
    rejections: Rate,
    answers: Rate,
    /// Sum of the answers' times as multiples of their targets.
    lateness: Rate,
    /// Last sign of shortage.
    short_at: Option<Instant>,
    reports: BTreeMap<Reporter, (ServiceUse, Instant)>,
}

#[derive(Debug, Default)]
struct WorkspaceUse {
    demand: BTreeMap<Class, Rate>,
    correction: Correction,
    /// Part of a request of the last admitted class that the share has room for.
    credit: f64,
}

/// Mean of the actual cost of requests as a multiple of its estimate.
#[derive(Clone, Copy, Debug, Default)]
struct Correction {
    mean: Option<f64>,
}

/// Requests that are admitted alike, the first to be admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    priority: u8,
    /// Binary logarithm of the cost.
    size: i8,
}

/// Cost of a request to an engine.
#[must_use]
pub fn engine_cost(prompt_tokens: u64, output_tokens: u64) -> Cost {
    prompt_tokens as f64 + OUTPUT_TOKEN_COST * output_tokens as f64
}

/// Cost of a request to a plain service; estimated if it has not ended.
#[must_use]
pub fn plain_cost(slot_time: Option<Duration>) -> Cost {
    slot_time.map_or(SLOT_TIME, |time| time.as_secs_f64())
}

impl FairShares {
    /// Charges an arrival, or a retry, to its workspace and returns the corrected cost; fails if the workspace is over
    /// its share and the request is among those to refuse.
    ///
    /// # Errors
    ///
    /// Holds the time after which the caller may retry.
    pub fn charge(
        &mut self,
        service: &ServiceId,
        workspace: &WorkspaceId,
        demand: Demand,
        now: Instant,
    ) -> Result<Cost, Duration> {
        let shares = self.services.entry(service.clone()).or_default();
        if !shares.workspaces.contains_key(workspace) && shares.workspaces.len() >= MAX_WORKSPACES {
            return Ok(demand.cost);
        }
        let entry = shares.workspaces.entry(workspace.clone()).or_default();
        let cost = demand.cost * entry.correction.or(shares.correction).factor();
        let class = Class::new(demand.priority, cost);
        entry.demand.entry(class).or_default().add(cost, now);
        let Some(share) = shares.share(service, now) else {
            return Ok(cost);
        };
        let Some(wanted) = share.over.get(workspace) else {
            return Ok(cost);
        };
        let knows_others = shares.reports.values().any(|(_, at)| is_fresh(*at, now));
        let tolerance = if knows_others { TOLERANCE } else { OWN_VIEW_TOLERANCE };
        let has_sent_few = !knows_others && *wanted < OWN_VIEW_REQUESTS * cost;
        let part = share.level / wanted;
        if part * tolerance >= 1.0 || has_sent_few {
            return Ok(cost);
        }
        let entry = shares.workspaces.entry(workspace.clone()).or_default();
        if entry.admits(class, part, now) {
            return Ok(cost);
        }
        let spread = Duration::from_secs_f64(1.0 / part.max(0.01)).min(MAX_RETRY_SPREAD);
        Err(MIN_RETRY_AFTER + spread.mul_f64(demand.hash as f64 / u64::MAX as f64))
    }

    /// Records that a request was sent to a server.
    pub fn sent(&mut self, service: &ServiceId, now: Instant) {
        self.services.entry(service.clone()).or_default().attempts.add(1.0, now);
    }

    /// Records that a server took a request and its answer began.
    pub fn served(&mut self, service: &ServiceId, cost: Cost, now: Instant) {
        self.services.entry(service.clone()).or_default().served.add(cost, now);
    }

    /// Corrects the estimates of a workspace's requests by one whose answer is complete.
    pub fn correct(
        &mut self,
        service: &ServiceId,
        workspace: &WorkspaceId,
        estimate: Cost,
        actual: Cost,
    ) {
        let Some(shares) = self.services.get_mut(service).filter(|_| estimate > 0.0) else {
            return;
        };
        shares.correction.add(actual / estimate);
        if let Some(entry) = shares.workspaces.get_mut(workspace) {
            entry.correction.add(actual / estimate);
        }
    }

    /// Records the time of a plain service's complete answer and the route's target for it.
    pub fn answered(
        &mut self,
        service: &ServiceId,
        took: Duration,
        target: Option<Duration>,
        now: Instant,
    ) {
        let shares = self.services.entry(service.clone()).or_default();
        let Some(target) = target.filter(|target| !target.is_zero()) else {
            return;
        };
        shares.answers.add(1.0, now);
        shares.lateness.add(took.as_secs_f64() / target.as_secs_f64(), now);
        let answers = shares.answers.amount(now);
        if answers >= MIN_ANSWERS && shares.lateness.amount(now) > answers {
            shares.short_at = Some(now);
        }
    }

    /// Records that a server rejected a request as full, or that all were busy.
    pub fn rejected(&mut self, service: &ServiceId, now: Instant) {
        let shares = self.services.entry(service.clone()).or_default();
        shares.rejections.add(1.0, now);
        let rejected = shares.rejections.amount(now);
        let attempts = shares.attempts.amount(now).max(rejected);
        if rejected >= MIN_REJECTIONS && rejected >= attempts * MIN_REJECTED_SHARE {
            shares.short_at = Some(now);
        }
    }

    /// Records that a request would miss its target by waiting.
    pub fn late(&mut self, service: &ServiceId, now: Instant) {
        self.services.entry(service.clone()).or_default().short_at = Some(now);
    }

    /// Shares in force; drops what is no longer of use.
    pub fn sweep(&mut self, now: Instant) -> Vec<ShareInForce> {
        let mut in_force = Vec::new();
        for (service, shares) in &mut self.services {
            shares.reports.retain(|_, (_, at)| is_fresh(*at, now));
            for workspace in shares.workspaces.values_mut() {
                workspace.demand.retain(|_, rate| !rate.is_spent(now));
            }
            shares.workspaces.retain(|_, workspace| !workspace.demand.is_empty());
            match shares.share(service, now) {
                Some(share) => in_force.push(share),
                None => shares.short_at = None,
            }
        }
        in_force
    }

    /// What to tell the host that sums for this data centre: the use of this host's services that are short.
    #[must_use]
    pub fn own_report(&self, now: Instant) -> UseReport {
        self.report(now, |_| false)
    }

    /// What to tell other data centres: the use of this one.
    #[must_use]
    pub fn centre_report(&self, now: Instant) -> UseReport {
        self.report(now, |reporter| matches!(reporter, Reporter::Host(_)))
    }

    /// What to tell a host of this data centre: the use of all hosts but itself.
    #[must_use]
    pub fn report_for(&self, host: &EntryHostId, now: Instant) -> UseReport {
        self.report(now, |reporter| match reporter {
            Reporter::Host(other) => other != host,
            Reporter::DataCentre(_) => true,
            Reporter::Others => false,
        })
    }

    /// Takes a report in place of the reporter's last one. What no host can have measured is dropped.
    pub fn merge(&mut self, reporter: &Reporter, report: UseReport, now: Instant) {
        for (service, mut used) in report.into_iter().take(MAX_SERVICES) {
            used.demand.retain(|_, demand| demand.is_finite() && *demand >= 0.0);
            if !used.served.is_finite() || used.served < 0.0 || used.demand.len() > MAX_WORKSPACES {
                continue;
            }
            if !self.services.contains_key(&service) && self.services.len() >= MAX_KNOWN_SERVICES {
                continue;
            }
            let shares = self.services.entry(service).or_default();
            let since = now.checked_sub(used.quiet);
            if shares.short_at.is_none() && used.quiet <= MAX_REPORT_AGE {
                shares.short_at = since;
            }
            shares.reports.insert(reporter.clone(), (used, now));
        }
    }

    fn report(&self, now: Instant, includes: impl Fn(&Reporter) -> bool) -> UseReport {
        let short = self.services.iter().filter(|(_, shares)| shares.short_at.is_some());
        let used = short.map(|(service, shares)| (service.clone(), shares.total(now, &includes)));
        used.take(MAX_SERVICES).collect()
    }
}

impl ServiceShares {
    /// The share in force; `None` if the service is not short, or if all demand fits the capacity.
    fn share(&self, service: &ServiceId, now: Instant) -> Option<ShareInForce> {
        self.short_at?;
        let total = self
            .total(now, &|reporter: &Reporter| *reporter != Reporter::Others || !self.sums(now));
        let quiet = total.quiet.saturating_sub(SIGN_VALIDITY).as_secs_f64();
        let capacity = f64::from(total.served) * (DRAINING_PART + GROWTH * quiet * quiet);
        let demand: BTreeMap<WorkspaceId, f64> = total
            .demand
            .into_iter()
            .map(|(workspace, demand)| (workspace, f64::from(demand)))
            .collect();
        let level = fair_level(demand.values().copied(), capacity)?;
        let over = demand.into_iter().filter(|(_, demand)| *demand > level).collect();
        Some(ShareInForce { service: service.clone(), level, capacity, over })
    }

    /// Whether this host sums for its data centre.
    fn sums(&self, now: Instant) -> bool {
        self.reports
            .iter()
            .any(|(reporter, (_, at))| matches!(reporter, Reporter::Host(_)) && is_fresh(*at, now))
    }

    /// Own use and that of the chosen reporters.
    fn total(&self, now: Instant, includes: &impl Fn(&Reporter) -> bool) -> ServiceUse {
        let own_quiet = self.short_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let mut total = ServiceUse {
            served: self.served.per_second(now) as f32,
            quiet: own_quiet,
            demand: BTreeMap::new(),
        };
        for (workspace, used) in &self.workspaces {
            total.demand.insert(workspace.clone(), used.per_second(now) as f32);
        }
        let fresh = self.reports.iter().filter(|(_, (_, at))| is_fresh(*at, now));
        for (_, (used, at)) in fresh.filter(|(reporter, _)| includes(reporter)) {
            total.served += used.served;
            total.quiet =
                total.quiet.min(used.quiet.saturating_add(now.saturating_duration_since(*at)));
            for (workspace, demand) in &used.demand {
                *total.demand.entry(workspace.clone()).or_default() += demand;
            }
        }
        total
    }
}

impl WorkspaceUse {
    fn per_second(&self, now: Instant) -> f64 {
        self.demand.values().map(|rate| rate.per_second(now)).sum()
    }

    /// Whether a request of a class is admitted while only `part` of the workspace's demand is.
    fn admits(&mut self, class: Class, part: f64, now: Instant) -> bool {
        let before: f64 = self.demand.range(..class).map(|(_, rate)| rate.per_second(now)).sum();
        let left = self.per_second(now) * part - before;
        let own = self.demand.get(&class).map_or(0.0, |rate| rate.per_second(now));
        if left >= own || left <= 0.0 {
            return left > 0.0;
        }
        self.credit += left / own;
        let admits = self.credit >= 1.0;
        if admits {
            self.credit -= 1.0;
        }
        admits
    }
}

impl Correction {
    fn add(&mut self, ratio: f64) {
        let ratio = ratio.clamp(MIN_CORRECTION, MAX_CORRECTION);
        let mean = self.mean.unwrap_or(ratio);
        self.mean = Some(mean + CORRECTION_WEIGHT * (ratio - mean));
    }

    fn or(self, other: Correction) -> Correction {
        Correction { mean: self.mean.or(other.mean) }
    }

    fn factor(self) -> f64 {
        self.mean.unwrap_or(1.0)
    }
}

impl Class {
    fn new(priority: u8, cost: Cost) -> Class {
        Class { priority, size: cost.max(1e-6).log2().floor() as i8 }
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= MAX_REPORT_AGE
}
