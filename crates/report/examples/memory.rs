//! Prints the memory that one host's metrics take after 74 hours, the retention period: `cargo run --release -p
//! foxtailhoist-report --example memory -- WORKSPACES VERSIONS SERVERS DATA_CENTRES REQUESTS_PER_MINUTE`.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use foxtailhoist_model::ModelVersion;
use foxtailhoist_report::CompletedRequest;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::Observation;
use foxtailhoist_report::RETENTION;

fn main() {
    let sizes: Vec<u64> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let [workspaces, versions, servers, data_centres, per_minute] = sizes[..] else {
        eprintln!("usage: memory WORKSPACES VERSIONS SERVERS DATA_CENTRES REQUESTS_PER_MINUTE");
        std::process::exit(2);
    };
    let begin = SystemTime::now() - RETENTION;
    let before = resident_kb();
    let started = Instant::now();
    let mut metrics = Metrics::default();
    let mut count = 0_u64;
    for minute in 0..RETENTION.as_secs() / 60 {
        let at = begin + Duration::from_secs(minute * 60);
        for _ in 0..per_minute {
            count += 1;
            let latency = Duration::from_millis(50 + count * 7_919 % 3_000);
            let labels = Labels {
                workspace: format!("workspace-{}", count % workspaces),
                model_version: Some(ModelVersion::new("model", &format!("v{}", count % versions))),
                server: Some(format!("engine-{}", count * 31 % servers)),
                data_centre: format!("data-centre-{}", count % data_centres),
                preset: "ordinary".to_owned(),
                revision: 1,
            };
            let request = CompletedRequest {
                labels,
                first_token: Some(latency),
                total: latency * 5,
                in_time: true,
                cost: 3,
                best_cost: 10,
            };
            metrics.record(at, &Observation::Completed(request));
        }
    }
    let per_request = started.elapsed() / u32::try_from(count).unwrap_or(u32::MAX).max(1);
    println!(
        "requests={count} buckets={} resident_kb={} time_per_request_ns={}",
        metrics.buckets(),
        resident_kb().saturating_sub(before),
        per_request.as_nanos()
    );
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}
