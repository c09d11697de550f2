//! Prints a quick comparison at the ordinary rate, for work on the policies.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use foxtailhoist_measure::policy::fault::Fault;
use foxtailhoist_measure::policy::kind::Policy;
use foxtailhoist_measure::policy::runs::Comparison;
use foxtailhoist_measure::policy::runs::Runner;
use foxtailhoist_measure::policy::site::Site;
use foxtailhoist_measure::policy::workload::DEFAULT_WORKLOAD;
use foxtailhoist_measure::policy::workload::Workloads;

fn main() {
    let workloads = Workloads::parse(DEFAULT_WORKLOAD).expect("the workload file is sound");
    let workloads = Arc::new(workloads);
    for (name, deployment) in &workloads.deployments {
        let runner = Runner {
            site: Arc::new(Site::new(deployment)),
            workloads: workloads.clone(),
            seeds: vec![1],
            threads: 4,
        };
        let mut policies = Policy::BASELINES.to_vec();
        policies.push(Policy::Router);
        for rate in [deployment.rate_per_s.ordinary, deployment.rate_per_s.peak] {
            let started = Instant::now();
            let comparison = Comparison {
                rate_per_s: rate,
                duration: Duration::from_secs(1_200),
                fault: Fault::None,
                policies: policies.clone(),
            };
            println!("{name} at {rate}/s");
            for (policy, outcomes) in runner.compare(&comparison) {
                let s = &outcomes[0].summary;
                println!(
                    "{policy:<26} vetoes {} cost {:.2} below {:.3} excess {:+.3} ft95 {:.2} ft99 {:.2} p50 {:.1} p99 {:.1} in time {:.3} waste {:.3} retry {:.3} cascade {:.2} models {:.2?}",
                    outcomes[0].versions.false_vetoes,
                    s.relative_cost,
                    s.below_target,
                    s.excess,
                    s.first_token.p95,
                    s.first_token.p99,
                    s.total.p50,
                    s.total.p99,
                    s.in_time,
                    s.wasted,
                    s.retry_share,
                    s.cascade_share,
                    s.models
                );
            }
            println!("took {:?}", started.elapsed());
        }
    }
}
