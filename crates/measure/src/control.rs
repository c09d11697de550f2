//! Control-plane cost of an entry host as the number of entry hosts grows.
//!
//! Hosts run in virtual time over a network with delay. Every four seconds a configuration with new canary quotas for
//! every host is published, alternately to all watchers and to a single one, and every four seconds a host vetoes a
//! version. Each host's evidence, its tallies of answers by version, grows every second. Messages are encoded as the
//! peers' transport encodes them, and the bytes sent and received are counted. CPU time is approximated by the
//! wall-clock time spent in `Peers::handle`, in encoding and in decoding; all other results are in virtual time and do
//! not depend on the speed of the computer.

mod fleet;

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use self::fleet::Fleet;
use self::fleet::HostCost;

/// Interval between configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);
/// Entry hosts per data centre at the size expected in two years: 490 hosts in 24 data centres.
const HOSTS_PER_CENTRE: f64 = 490.0 / 24.0;
/// Minimum number of data centres.
const MIN_CENTRES: usize = 3;
/// Upper bound of recorded propagation times; a change that takes longer is recorded with this value.
const MAX_PROPAGATION: Duration = Duration::from_secs(60);
/// Number of evidence propagation measurements, made after the traffic is measured.
const EVIDENCE_ROUNDS: usize = 3;

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    pub seed: u64,
    /// Numbers of entry hosts to measure.
    pub sizes: Vec<usize>,
    /// Virtual time that runs before the measurement.
    pub warm_up: Duration,
    /// Virtual time that is measured.
    pub duration: Duration,
}

/// Results for all sizes, and their growth per entry host.
#[derive(Clone, Debug, Serialize)]
pub struct ControlReport {
    pub seed: u64,
    pub sizes: Vec<ControlSize>,
    pub slopes: ControlSlopes,
}

/// Results for one number of entry hosts.
#[derive(Clone, Debug, Serialize)]
pub struct ControlSize {
    pub hosts: usize,
    pub data_centres: usize,
    /// Cost of hosts that are not watchers.
    pub ordinary: CostSummary,
    /// Cost of the watchers: the delegate and the deputy of each data centre.
    pub watchers: CostSummary,
    /// From a configuration's publication until all hosts have adopted it, when all watchers see it.
    pub configuration: PropagationSummary,
    /// The same when a single watcher sees it.
    pub configuration_from_one: PropagationSummary,
    /// From a veto until all hosts have received it.
    pub veto: PropagationSummary,
    /// From new evidence on one host until the sums of all other hosts include it.
    pub evidence: PropagationSummary,
    /// Open watches on the object API.
    pub watches: usize,
    /// Largest message in bytes, configurations and configuration changes excluded.
    pub largest_message: usize,
    /// Largest configuration change in bytes.
    pub largest_change: usize,
}

/// Median and maximum cost per host and second in a group of hosts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CostSummary {
    pub sent_p50: f64,
    pub sent_max: f64,
    pub received_p50: f64,
    pub received_max: f64,
    pub messages_sent_p50: f64,
    /// Microseconds per second spent in `Peers::handle`.
    pub handle_us_p50: f64,
    pub handle_us_max: f64,
    /// Microseconds per second spent encoding and decoding.
    pub codec_us_p50: f64,
    /// Estimated bytes of all tables; not a rate.
    pub memory_p50: f64,
    pub memory_max: f64,
}

/// Propagation times over all changes, in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PropagationSummary {
    pub changes: u64,
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

/// Growth per additional entry host, by least squares over the sizes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlSlopes {
    pub sent: f64,
    pub received: f64,
    pub watcher_sent: f64,
    pub watcher_received: f64,
    pub handle_us: f64,
    pub memory: f64,
}

impl Default for ControlConfig {
    fn default() -> ControlConfig {
        ControlConfig {
            seed: 1,
            sizes: vec![6, 12, 24, 48, 96, 490],
            warm_up: Duration::from_secs(60),
            duration: Duration::from_secs(64),
        }
    }
}

/// Measures all sizes.
#[must_use]
pub fn run(cfg: &ControlConfig) -> ControlReport {
    let sizes: Vec<ControlSize> = cfg.sizes.iter().map(|hosts| measure(cfg, *hosts)).collect();
    ControlReport { seed: cfg.seed, slopes: slopes(&sizes), sizes }
}

fn measure(cfg: &ControlConfig, hosts: usize) -> ControlSize {
    let proportional = (hosts as f64 / HOSTS_PER_CENTRE).round() as usize;
    let data_centres = proportional.max(MIN_CENTRES);
    let mut fleet = Fleet::new(hosts, data_centres, cfg.seed);
    fleet.run(cfg.warm_up);
    // Hosts fetch the first revision in full; only later changes are measured.
    fleet.change_configuration(true);
    fleet.run(CHANGE_INTERVAL);
    fleet.reset_costs();

    let rounds = cfg.duration.as_millis() / CHANGE_INTERVAL.as_millis();
    let mut all_watchers = PropagationTimes::default();
    let mut one_watcher = PropagationTimes::default();
    let mut vetoes = PropagationTimes::default();
    for round in 0..rounds {
        let at_all_watchers = round % 2 == 0;
        let revision = fleet.change_configuration(at_all_watchers);
        fleet.run(CHANGE_INTERVAL / 2);
        let took = fleet.configuration_propagation(revision, MAX_PROPAGATION);
        if at_all_watchers {
            all_watchers.add(took)
        } else {
            one_watcher.add(took)
        }
        let veto = fleet.veto();
        fleet.run(CHANGE_INTERVAL / 2);
        vetoes.add(fleet.veto_propagation(&veto, MAX_PROPAGATION));
    }

    let costs = fleet.costs();
    let mut evidence = PropagationTimes::default();
    for _ in 0..EVIDENCE_ROUNDS {
        evidence.add(fleet.evidence_propagation(MAX_PROPAGATION));
    }

    let (watchers, ordinary): (Vec<HostCost>, Vec<HostCost>) =
        costs.into_iter().partition(|cost| cost.watcher);
    ControlSize {
        hosts,
        data_centres,
        watches: watchers.len(),
        ordinary: summarise(&ordinary),
        watchers: summarise(&watchers),
        configuration: all_watchers.summary(),
        configuration_from_one: one_watcher.summary(),
        veto: vetoes.summary(),
        evidence: evidence.summary(),
        largest_message: fleet.largest_message(),
        largest_change: fleet.largest_change(),
    }
}

fn summarise(costs: &[HostCost]) -> CostSummary {
    let median = |value: fn(&HostCost) -> f64| quantile(costs, value, 0.5);
    let largest = |value: fn(&HostCost) -> f64| quantile(costs, value, 1.0);
    CostSummary {
        sent_p50: median(|cost| cost.sent),
        sent_max: largest(|cost| cost.sent),
        received_p50: median(|cost| cost.received),
        received_max: largest(|cost| cost.received),
        messages_sent_p50: median(|cost| cost.messages_sent),
        handle_us_p50: median(|cost| cost.handle_us),
        handle_us_max: largest(|cost| cost.handle_us),
        codec_us_p50: median(|cost| cost.codec_us),
        memory_p50: median(|cost| cost.memory),
        memory_max: largest(|cost| cost.memory),
    }
}

fn quantile(costs: &[HostCost], value: fn(&HostCost) -> f64, at: f64) -> f64 {
    let mut values: Vec<f64> = costs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * at).round() as usize).copied().unwrap_or(0.0)
}

fn slopes(sizes: &[ControlSize]) -> ControlSlopes {
    // At the smallest sizes every host is a watcher.
    let ordinary: Vec<&ControlSize> =
        sizes.iter().filter(|size| size.watches < size.hosts).collect();
    let all: Vec<&ControlSize> = sizes.iter().collect();
    ControlSlopes {
        sent: slope(&ordinary, |size| size.ordinary.sent_p50),
        received: slope(&ordinary, |size| size.ordinary.received_p50),
        watcher_sent: slope(&all, |size| size.watchers.sent_p50),
        watcher_received: slope(&all, |size| size.watchers.received_p50),
        handle_us: slope(&ordinary, |size| size.ordinary.handle_us_p50),
        memory: slope(&ordinary, |size| size.ordinary.memory_p50),
    }
}

/// Slope of a value against the number of hosts, by least squares.
fn slope(sizes: &[&ControlSize], value: fn(&ControlSize) -> f64) -> f64 {
    let count = sizes.len() as f64;
    let mean_x = sizes.iter().map(|size| size.hosts as f64).sum::<f64>() / count;
    let mean_y = sizes.iter().map(|size| value(size)).sum::<f64>() / count;
    let deviation = |size: &&ControlSize| size.hosts as f64 - mean_x;
    let covariance: f64 = sizes.iter().map(|size| deviation(size) * (value(size) - mean_y)).sum();
    let variance: f64 = sizes.iter().map(|size| deviation(size).powi(2)).sum();
    if variance > 0.0 { covariance / variance } else { 0.0 }
}

/// Histogram of propagation times in microseconds.
struct PropagationTimes(Histogram<u64>);

impl Default for PropagationTimes {
    fn default() -> PropagationTimes {
        let longest = MAX_PROPAGATION.as_micros() as u64;
        PropagationTimes(Histogram::new_with_max(longest, 3).expect("the bounds are supported"))
    }
}

impl PropagationTimes {
    fn add(&mut self, took: Duration) {
        self.0.saturating_record(took.as_micros() as u64);
    }

    fn summary(&self) -> PropagationSummary {
        let seconds = |quantile| self.0.value_at_quantile(quantile) as f64 / 1e6;
        PropagationSummary {
            changes: self.0.len(),
            p50: seconds(0.5),
            p99: seconds(0.99),
            max: self.0.max() as f64 / 1e6,
        }
    }
}

impl fmt::Display for ControlReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "control cost, seed {}, a host a second", self.seed)?;
        for size in &self.sizes {
            write!(f, "{size}")?;
        }
        let slopes = &self.slopes;
        writeln!(f, "slopes for each further host:")?;
        writeln!(
            f,
            "  ordinary host: sent {:+.2} B/s, received {:+.2} B/s, handle {:+.2} us/s, memory {:+.0} B",
            slopes.sent, slopes.received, slopes.handle_us, slopes.memory
        )?;
        writeln!(
            f,
            "  watcher: sent {:+.2} B/s, received {:+.2} B/s",
            slopes.watcher_sent, slopes.watcher_received
        )
    }
}

impl fmt::Display for ControlSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} hosts in {} data centres, {} watches, largest message {} B, largest change {} B",
            self.hosts, self.data_centres, self.watches, self.largest_message, self.largest_change
        )?;
        if self.watches < self.hosts {
            writeln!(f, "  ordinary: {}", self.ordinary)?;
        }
        writeln!(f, "  watchers: {}", self.watchers)?;
        writeln!(f, "  configuration everywhere:          {}", self.configuration)?;
        writeln!(f, "  configuration seen by one host:    {}", self.configuration_from_one)?;
        writeln!(f, "  veto everywhere:                   {}", self.veto)?;
        writeln!(f, "  evidence everywhere:               {}", self.evidence)
    }
}

impl fmt::Display for CostSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent {:.0} B p50 {:.0} max ({:.1} messages), received {:.0} p50 {:.0} max, handle {:.0} us p50 {:.0} max, \
             codec {:.0} us, memory {:.0} KB p50 {:.0} max",
            self.sent_p50,
            self.sent_max,
            self.messages_sent_p50,
            self.received_p50,
            self.received_max,
            self.handle_us_p50,
            self.handle_us_max,
            self.codec_us_p50,
            self.memory_p50 / 1024.0,
            self.memory_max / 1024.0,
        )
    }
}

impl fmt::Display for PropagationSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.3} s, p99 {:.3} s, max {:.3} s over {} changes",
            self.p50, self.p99, self.max, self.changes
        )
    }
}
