//! Store calls, added latency and recovery time of the journal.
//!
//! Journals run in virtual time over an in-memory object API: a store call takes 5 ms, a message 4 ms between data
//! centres and 0.5 ms within one. Retention is shortened so that snapshots, compaction and deletes all occur within
//! the measured time; they are counted like any other store call.

mod driver;

use std::fmt;
use std::time::Duration;

use foxtailhoist_journal::DEFAULT_SHARDS;
use foxtailhoist_journal::JournalConfig;
use foxtailhoist_journal::SHARDS_LARGE;
use foxtailhoist_journal::write_interval;
use serde::Serialize;

use driver::Driver;
use driver::Latencies;

/// Entry hosts of the default deployment.
const DEFAULT_HOSTS: u32 = 6;
const WARM_UP: Duration = Duration::from_secs(900);
const MEASURED_TIME: Duration = Duration::from_secs(1_800);
const CLAIM_RETENTION: Duration = Duration::from_secs(300);
const BILL_RETENTION: Duration = Duration::from_secs(120);

/// Results of the measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JournalCost {
    pub loads: Vec<LoadCost>,
    pub recoveries: Vec<RecoveryCost>,
}

/// Cost at one load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadCost {
    pub load: Load,
    // Store calls of all hosts per thousand requests, by kind.
    pub gets: f64,
    pub lists: f64,
    pub puts: f64,
    pub deletes: f64,
    /// Messages between hosts per request.
    pub messages: f64,
    /// Time from a request's claim to its grant; `None` without claims.
    pub claim: Option<Percentiles>,
    /// Time from a bill until it is durable.
    pub bill: Percentiles,
}

/// A request rate and the deployment that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Requests per second.
    pub rate: u32,
    /// Share of requests that are not idempotent.
    pub claim_share: f64,
    pub hosts: u32,
    pub data_centres: u32,
    pub shards: u32,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Percentiles {
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Cost of a host's first claim on a shard whose log was written before the host started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RecoveryCost {
    /// Segments in the shard's log.
    pub segments: u64,
    pub with_snapshots: bool,
    pub calls: u64,
    /// Time until the claim was granted, in milliseconds.
    pub time_ms: f64,
}

impl LoadCost {
    /// Store calls of all hosts per thousand requests.
    #[must_use]
    pub fn calls(&self) -> f64 {
        self.gets + self.lists + self.puts + self.deletes
    }
}

/// Measures the journal with seeded arrivals and delays.
#[must_use]
pub fn measure(seed: u64) -> JournalCost {
    let loads = LOADS.iter().map(|load| measure_load(*load, seed)).collect();
    let log_lengths = [10, 100, 1_000, 10_000];
    let recoveries = [true, false]
        .into_iter()
        .flat_map(|with_snapshots| {
            log_lengths.map(|segments| measure_recovery(segments, with_snapshots, seed))
        })
        .collect();
    JournalCost { loads, recoveries }
}

/// Measured loads: the default deployment at up to a thousand requests per second, then a tenth of the large one.
pub const LOADS: [Load; 8] = [
    default_load(1, 0.0),
    default_load(10, 0.0),
    default_load(24, 0.0),
    default_load(24, 0.02),
    default_load(24, 0.1),
    default_load(100, 0.02),
    default_load(1_000, 0.02),
    // A tenth of the large deployment; load and write interval of a shard are those at full size.
    Load { rate: 2_500, claim_share: 0.04, hosts: 48, data_centres: 24, shards: SHARDS_LARGE / 10 },
];

const fn default_load(rate: u32, claim_share: f64) -> Load {
    Load { rate, claim_share, hosts: DEFAULT_HOSTS, data_centres: 3, shards: DEFAULT_SHARDS }
}

/// Measures the cost at one load.
#[must_use]
pub fn measure_load(load: Load, seed: u64) -> LoadCost {
    let scale = time_scale(load.rate);
    let (claims, bills) = (CLAIM_RETENTION / scale, BILL_RETENTION / scale);
    let interval =
        write_interval(if load.hosts > DEFAULT_HOSTS { SHARDS_LARGE } else { load.shards });
    let cfg = |cfg: JournalConfig| {
        cfg.shards(load.shards).write_interval(interval).retention(claims, bills)
    };
    let mut driver = Driver::new(seed, load.hosts, load.data_centres, &cfg);
    driver.load(load.rate, load.claim_share, WARM_UP / scale);
    let calls_before = driver.calls();
    let messages_before = driver.messages();
    driver.reset_latencies();
    let requests = driver.load(load.rate, load.claim_share, MEASURED_TIME / scale);
    let calls = driver.calls();
    let per_thousand =
        |after: u64, before: u64| (after - before) as f64 * 1_000.0 / requests as f64;
    LoadCost {
        load,
        gets: per_thousand(calls.gets, calls_before.gets),
        lists: per_thousand(calls.lists, calls_before.lists),
        puts: per_thousand(calls.puts, calls_before.puts),
        deletes: per_thousand(calls.deletes, calls_before.deletes),
        messages: (driver.messages() - messages_before) as f64 / requests as f64,
        claim: percentiles(driver.claims()),
        bill: percentiles(driver.bills()).unwrap_or(Percentiles { p50_ms: 0.0, p99_ms: 0.0 }),
    }
}

/// Measures the first claim of a restarted host on a shard whose log has `segments` segments.
#[must_use]
pub fn measure_recovery(segments: u64, with_snapshots: bool, seed: u64) -> RecoveryCost {
    let segments_per_snapshot = if with_snapshots { 32 } else { u64::MAX / 2 };
    let cfg = |cfg: JournalConfig| cfg.snapshot_every(segments_per_snapshot);
    let mut driver = Driver::new(seed, 1, 1, &cfg);
    driver.write_segments(segments);
    driver.restart_hosts(&cfg);
    let before = driver.calls().total();
    let time = driver.claim_once();
    RecoveryCost {
        segments,
        with_snapshots,
        calls: driver.calls().total() - before,
        time_ms: time.as_secs_f64() * 1_000.0,
    }
}

/// Divisor of retention, warm-up and measured time, which bounds the number of requests at high rates.
fn time_scale(rate: u32) -> u32 {
    match rate {
        0..=100 => 1,
        101..=1_000 => 10,
        _ => 30,
    }
}

fn percentiles(latencies: &Latencies) -> Option<Percentiles> {
    if latencies.is_empty() {
        return None;
    }
    let at = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    Some(Percentiles { p50_ms: at(0.5), p99_ms: at(0.99) })
}

impl fmt::Display for JournalCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "store calls for each thousand requests, and added latency (store call 5 ms)")?;
        writeln!(
            f,
            "{:>8} {:>7} {:>6} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "req/s",
            "claims",
            "hosts",
            "shards",
            "calls",
            "gets",
            "lists",
            "puts",
            "deletes",
            "msgs/req",
            "claim p50",
            "claim p99",
            "bill p50",
            "bill p99"
        )?;
        for cost in &self.loads {
            writeln!(f, "{cost}")?;
        }
        writeln!(f, "first claim of a new host on a shard")?;
        writeln!(f, "{:>9} {:>10} {:>7} {:>10}", "segments", "snapshots", "calls", "time ms")?;
        for cost in &self.recoveries {
            writeln!(
                f,
                "{:>9} {:>10} {:>7} {:>10.1}",
                cost.segments, cost.with_snapshots, cost.calls, cost.time_ms
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let claim = |value: fn(Percentiles) -> f64| {
            self.claim.map_or("-".to_owned(), |claim| format!("{:.1}", value(claim)))
        };
        write!(
            f,
            "{:>8} {:>7.2} {:>6} {:>7} {:>8.2} {:>7.2} {:>7.2} {:>7.2} {:>8.2} {:>9.2} {:>9} {:>9} {:>9.1} {:>9.1}",
            self.load.rate,
            self.load.claim_share,
            self.load.hosts,
            self.load.shards,
            self.calls(),
            self.gets,
            self.lists,
            self.puts,
            self.deletes,
            self.messages,
            claim(|claim| claim.p50_ms),
            claim(|claim| claim.p99_ms),
            self.bill.p50_ms,
            self.bill.p99_ms
        )
    }
}
