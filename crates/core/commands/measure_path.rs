//! `measure path`: latency and CPU time that an entry host adds to a call of an engine.
//!
//! Direct and routed calls alternate in batches within one run, so that other load affects both equally. Everything
//! runs in one process: the CPU time of a path includes the caller and the engine, and the difference between the two
//! paths is the CPU time of the entry host.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::commands::dev;
use crate::commands::dev::DevOptions;
use crate::failure::Failure;
use crate::flags::MeasureFlags;

/// Requests on each path before measuring.
const WARM_UP_REQUESTS: usize = 50;
/// Requests on each path whose latency is measured.
const MEASURED_REQUESTS: usize = 1_000;
/// Requests on one path before switching to the other.
const BATCH_REQUESTS: usize = 25;
/// Concurrent requests while CPU time is measured.
const CONCURRENT_REQUESTS: usize = 16;
/// Requests on each path while CPU time is measured.
const LOAD_REQUESTS: usize = 4_000;
/// Highest latency that the histograms record, in microseconds.
const HIGHEST_US: u64 = 60_000_000;
const BODY: &str = r#"{"max_tokens":1,"messages":[{"role":"user","content":"Tag: rises slowly"}]}"#;

/// Result of one run.
#[derive(Debug, Serialize)]
pub struct PathCost {
    direct: CallCost,
    routed: CallCost,
    added_p50_us: i64,
    added_p99_us: i64,
    /// Requests that an entry host forwards per second of CPU time, caller and engine excluded.
    routed_per_core_second: f64,
}

/// Latency and CPU time of the calls on one path.
#[derive(Debug, Serialize)]
struct CallCost {
    p50_us: u64,
    p99_us: u64,
    /// CPU time of a request under load, in microseconds, caller and engine included.
    cpu_us: f64,
}

/// Direct or routed path of the calls to an engine.
#[derive(Clone)]
struct CallPath {
    url: String,
    headers: Vec<(&'static str, String)>,
    client: reqwest::Client,
}

/// Runs the measurement and prints it.
///
/// # Errors
///
/// Fails when the fleet cannot be started or a call fails.
pub async fn run(flags: MeasureFlags) -> Result<(), Failure> {
    let options = DevOptions { configuration: None, hosts: 2, port: 0, seed: flags.seed };
    let fleet = dev::start(&options).await?;
    let engine = fleet
        .deployment
        .addresses()
        .backend_servers
        .into_iter()
        .find(|server| server.id.contains("large"))
        .ok_or_else(|| Failure::Failed("none of the stand-ins is a large engine".to_owned()))?;
    let direct = CallPath::direct(engine.address);
    let routed = CallPath::routed(fleet.servers[0].addresses().callers);
    let cost = measure(&direct, &routed).await;
    fleet.close().await;
    print(&cost?, flags.json);
    Ok(())
}

async fn measure(direct: &CallPath, routed: &CallPath) -> Result<PathCost, Failure> {
    for _ in 0..WARM_UP_REQUESTS {
        direct.call().await?;
        routed.call().await?;
    }
    let mut direct_times = histogram()?;
    let mut routed_times = histogram()?;
    for _ in 0..MEASURED_REQUESTS / BATCH_REQUESTS {
        record_latencies(direct, &mut direct_times).await?;
        record_latencies(routed, &mut routed_times).await?;
    }
    let direct_cost = CallCost::of(&direct_times, cpu_under_load(direct).await?);
    let routed_cost = CallCost::of(&routed_times, cpu_under_load(routed).await?);
    let added = |routed: u64, direct: u64| {
        i64::try_from(routed).unwrap_or(0) - i64::try_from(direct).unwrap_or(0)
    };
    Ok(PathCost {
        added_p50_us: added(routed_cost.p50_us, direct_cost.p50_us),
        added_p99_us: added(routed_cost.p99_us, direct_cost.p99_us),
        routed_per_core_second: 1e6 / (routed_cost.cpu_us - direct_cost.cpu_us),
        direct: direct_cost,
        routed: routed_cost,
    })
}

async fn record_latencies(path: &CallPath, times: &mut Histogram<u64>) -> Result<(), Failure> {
    for _ in 0..BATCH_REQUESTS {
        let start = Instant::now();
        path.call().await?;
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(HIGHEST_US);
        times.saturating_record(micros);
    }
    Ok(())
}

/// CPU time of one request under load, in microseconds.
async fn cpu_under_load(path: &CallPath) -> Result<f64, Failure> {
    let before = cpu_time()?;
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENT_REQUESTS {
        let path = path.clone();
        tasks.push(tokio::spawn(async move {
            for _ in 0..LOAD_REQUESTS / CONCURRENT_REQUESTS {
                path.call().await?;
            }
            Ok::<(), Failure>(())
        }));
    }
    for task in tasks {
        task.await.map_err(|e| Failure::Failed(e.to_string()))??;
    }
    let spent = cpu_time()?.saturating_sub(before);
    Ok(spent.as_secs_f64() * 1e6 / LOAD_REQUESTS as f64)
}

/// CPU time used by this process, from the kernel's count of clock ticks.
fn cpu_time() -> Result<Duration, Failure> {
    /// Clock ticks per second in `/proc/self/stat`.
    const TICKS_PER_SECOND: u64 = 100;
    let text =
        std::fs::read_to_string("/proc/self/stat").map_err(|e| Failure::Failed(e.to_string()))?;
    // The second field is the name in parentheses and may contain spaces, so only the text after it is split. User and
    // system time, fields 14 and 15, have index 11 and 12 there.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: u64 =
        [11, 12].iter().filter_map(|index| fields.get(*index)?.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

impl CallPath {
    fn direct(engine: SocketAddr) -> CallPath {
        let headers = vec![
            ("x-attempt-id", "1".to_owned()),
            ("x-model-version", "levain-large@v1".to_owned()),
            ("x-priority", "normal".to_owned()),
            ("x-deadline-ms", "20000".to_owned()),
        ];
        CallPath {
            url: format!("http://{engine}/v1/chat/completions"),
            headers,
            client: reqwest::Client::new(),
        }
    }

    fn routed(callers: SocketAddr) -> CallPath {
        let headers = vec![("authorization", "Bearer key-baker-help".to_owned())];
        CallPath {
            url: format!("http://{callers}/v1/chat/completions"),
            headers,
            client: reqwest::Client::new(),
        }
    }

    async fn call(&self) -> Result<(), Failure> {
        let mut request =
            self.client.post(&self.url).header("content-type", "application/json").body(BODY);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let failed = |e: reqwest::Error| Failure::Failed(format!("{}: {e}", self.url));
        let response = request.send().await.map_err(failed)?;
        let status = response.status();
        let body = response.text().await.map_err(failed)?;
        if status.is_success() {
            return Ok(());
        }
        Err(Failure::Failed(format!("{} answered {status}: {body}", self.url)))
    }
}

impl CallCost {
    fn of(times: &Histogram<u64>, cpu_us: f64) -> CallCost {
        CallCost {
            p50_us: times.value_at_quantile(0.5),
            p99_us: times.value_at_quantile(0.99),
            cpu_us,
        }
    }
}

fn histogram() -> Result<Histogram<u64>, Failure> {
    Histogram::new_with_bounds(1, HIGHEST_US, 3).map_err(|e| Failure::Failed(e.to_string()))
}

fn print(cost: &PathCost, json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(cost).unwrap_or_default());
        return;
    }
    println!("{:<8} {:>10} {:>10} {:>14}", "way", "p50 us", "p99 us", "cpu us/request");
    for (name, path) in [("direct", &cost.direct), ("routed", &cost.routed)] {
        println!("{name:<8} {:>10} {:>10} {:>14.1}", path.p50_us, path.p99_us, path.cpu_us);
    }
    println!("added latency p50 {} us, p99 {} us", cost.added_p50_us, cost.added_p99_us);
    println!("requests per core-second through an entry host {:.0}", cost.routed_per_core_second);
}
