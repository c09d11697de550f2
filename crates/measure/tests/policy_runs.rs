//! Runs are reproducible and show differences between policies that are known in advance.

use std::sync::Arc;
use std::time::Duration;

use foxtailhoist_measure::policy::fault::Fault;
use foxtailhoist_measure::policy::kind::Policy;
use foxtailhoist_measure::policy::runs::Comparison;
use foxtailhoist_measure::policy::runs::Outcomes;
use foxtailhoist_measure::policy::runs::Runner;
use foxtailhoist_measure::policy::runs::after_warm_up;
use foxtailhoist_measure::policy::site::Site;
use foxtailhoist_measure::policy::workload::DEFAULT_WORKLOAD;
use foxtailhoist_measure::policy::workload::Workloads;

/// Two models, one class and few requests: small enough for debug builds.
const TINY: &str = "
confidence: { acceptable: { mean: 1.0, sd: 1.0 }, unacceptable: { mean: -1.0, sd: 1.0 } }
difficulty_rho: 0.6
rating: { per_second: 10, delay_s: 5, wrong_share: 0.05 }
load_report: { every_s: 1.0, lag_s: 0.5 }
cache_events: { lag_s: 1.0, lost_share: 0.02 }
deployments:
  tiny:
    data_centres: [a, b, c]
    between_ms: 4
    clients_ms: 3
    rate_per_s: { ordinary: 1, peak: 2 }
    quality_target_slack: 0.01
    deadline_s: 20
    workspaces: { count: 2, zipf: 1.0 }
    sessions: { share: 0.5, turns_mean: 3, gap_s: 10 }
    prefixes: { groups: 4, zipf: 1.0 }
    engines:
      small: { count: 2, price_in: 0.1, price_out: 0.4, prefill_tok_s: 24000, decode_ms: 8, decode_ms_per_extra: 0.15, slots: 32, cache_tokens: 160000 }
      large: { count: 3, price_in: 1.5, price_out: 6.0, prefill_tok_s: 6000, decode_ms: 22, decode_ms_per_extra: 0.4, slots: 32, cache_tokens: 160000 }
    classes:
      tagging: { streamed: false, share: 1.0, prefix_tok: 800, prompt_tok: 400, output_tok: 50, acceptable: { small: 0.6, large: 0.9 } }
";

fn compare(yaml: &str, policies: &[Policy], fault: Fault, seed: u64) -> Outcomes {
    let workloads = Arc::new(Workloads::parse(yaml).expect("the workload is valid"));
    let deployment = workloads.deployments.values().next().expect("one deployment");
    let runner = Runner {
        site: Arc::new(Site::new(deployment)),
        workloads: workloads.clone(),
        seeds: vec![seed],
        threads: 2,
    };
    runner.compare(&Comparison {
        rate_per_s: 2.0,
        duration: Duration::from_secs(300),
        fault,
        policies: policies.to_vec(),
    })
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let policies = [Policy::Router, Policy::Random, Policy::RoundRobinRetries];
    let fault = Fault::SlowServer { model: 1, factor: 3.0 };
    let first = format!("{:?}", compare(TINY, &policies, fault, 5));
    let second = format!("{:?}", compare(TINY, &policies, fault, 5));
    let other = format!("{:?}", compare(TINY, &policies, fault, 6));
    assert_eq!(first, second);
    assert_ne!(first, other);
}

#[test]
fn acceptable_share_matches_the_workload() {
    let outcomes = compare(TINY, &[Policy::AlwaysBest, Policy::Cheapest], Fault::None, 3);
    let below = |policy: Policy| outcomes[&policy][0].summary.below_target;
    assert!((below(Policy::AlwaysBest) - 0.1).abs() < 0.04, "{}", below(Policy::AlwaysBest));
    assert!((below(Policy::Cheapest) - 0.4).abs() < 0.06, "{}", below(Policy::Cheapest));
    let cost = outcomes[&Policy::Cheapest][0].summary.relative_cost;
    // The large model costs 15 times as much, and more of its answers are acceptable.
    assert!((cost - 0.9 / 0.6 / 15.0).abs() < 0.02, "{cost}");
}

#[test]
fn answer_time_matches_the_engine_speed() {
    let outcomes = compare(TINY, &[Policy::AlwaysBest], Fault::None, 3);
    let summary = &outcomes[&Policy::AlwaysBest][0].summary;
    assert!((summary.in_time - 1.0).abs() < 1e-9);
    // Without other load, an answer takes 0.07 s of prefill with a cached prefix and 49 steps of 22 ms.
    assert!((1.0..1.6).contains(&summary.total.p50), "{}", summary.total.p50);
}

#[test]
fn only_the_router_answers_in_time_while_a_data_centre_is_disconnected() {
    let fault =
        Fault::CutDataCentre { data_centre: 1, from: after_warm_up(60), until: after_warm_up(240) };
    let outcomes = compare(TINY, &[Policy::LeastInFlight, Policy::Router], fault, 3);
    let in_time = |policy: Policy| outcomes[&policy][0].summary.in_time;
    assert!(in_time(Policy::LeastInFlight) < 0.9, "{}", in_time(Policy::LeastInFlight));
    assert!(in_time(Policy::Router) > 0.97, "{}", in_time(Policy::Router));
}

#[test]
fn a_class_without_an_acceptable_share_for_a_model_is_refused() {
    let yaml = TINY.replace("small: 0.6, ", "");
    let error = Workloads::parse(&yaml).expect_err("a model has no acceptable share");
    assert!(error.to_string().contains("class tagging"), "{error}");
}

#[test]
fn the_default_workload_is_valid() {
    let workloads = Workloads::parse(DEFAULT_WORKLOAD).expect("the workload is valid");
    assert_eq!(workloads.deployments.len(), 2);
}
