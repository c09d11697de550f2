//! The simulated engine matches queueing theory and its documented behaviour.

use std::time::Duration;

use foxtailhoist_measure::policy::clock::Time;
use foxtailhoist_measure::policy::engine::Engine;
use foxtailhoist_measure::policy::engine::Job;
use foxtailhoist_measure::policy::engine::Output;
use foxtailhoist_measure::policy::random::exponential;
use foxtailhoist_measure::policy::workload::EngineSpec;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::Priority;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SPEC: EngineSpec = EngineSpec {
    count: 1,
    price_in: 1.0,
    price_out: 1.0,
    prefill_tok_s: 1_000.0,
    decode_ms: 10.0,
    decode_ms_per_extra: 1.0,
    slots: 1,
    cache_tokens: 2_000,
};

/// 100 tokens of prefill (0.1 s) and 91 output tokens, of which 90 take a decode step each (0.9 s): one second without
/// other load.
fn job(attempt: AttemptId) -> Job {
    Job {
        attempt,
        priority: Priority::Normal,
        prefix: attempt as u64,
        prefix_tokens: 0,
        prompt_tokens: 100,
        output_tokens: 91,
    }
}

/// Runs the engine until it is idle; returns the time at which each attempt finished.
fn drain(engine: &mut Engine, mut outputs: Vec<Output>) -> Vec<(AttemptId, Time)> {
    let mut finished = Vec::new();
    let mut now = Time::ZERO;
    loop {
        for output in outputs.drain(..) {
            if let Output::Finished(attempt) = output {
                finished.push((attempt, now));
            }
        }
        let Some(next) = engine.next_wake() else {
            return finished;
        };
        now = next;
        engine.advance(now, &mut outputs);
    }
}

fn assert_near(measured: f64, expected: f64, relative: f64, what: &str) {
    let error = (measured - expected).abs() / expected;
    assert!(error <= relative, "{what}: measured {measured:.3}, expected {expected:.3}");
}

#[test]
fn mean_wait_matches_the_pollaczek_khinchine_formula() {
    let (rate, jobs) = (0.7, 40_000_u32);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut engine = Engine::new(SPEC);
    let mut outputs = Vec::new();
    let mut arrived = Vec::new();
    let mut response_time_s = 0.0;
    let mut now_s = 0.0;
    let mut finished = 0;
    while finished < jobs {
        let next_arrival_s = now_s + exponential(&mut rng, 1.0 / rate);
        let next_arrival = Duration::from_secs_f64(next_arrival_s);
        while let Some(wake) = engine.next_wake().filter(|wake| *wake <= next_arrival) {
            engine.advance(wake, &mut outputs);
            for output in outputs.drain(..) {
                if let Output::Finished(attempt) = output {
                    finished += 1;
                    response_time_s += wake.as_secs_f64() - arrived[attempt as usize];
                }
            }
        }
        now_s = next_arrival_s;
        engine.submit(job(arrived.len() as AttemptId), next_arrival, &mut outputs);
        arrived.push(now_s);
    }
    let expected_wait = rate / (2.0 * (1.0 - rate));
    assert_near(response_time_s / f64::from(finished) - 1.0, expected_wait, 0.05, "mean wait");
    assert_near(engine.busy().as_secs_f64() / now_s, rate, 0.02, "utilisation");
}

#[test]
fn a_saturated_engine_finishes_one_job_per_service_time() {
    let mut engine = Engine::new(SPEC);
    let mut outputs = Vec::new();
    (0..100).for_each(|attempt| engine.submit(job(attempt), Time::ZERO, &mut outputs));
    let finished = drain(&mut engine, outputs);
    let last = finished.last().expect("all finish").1;
    assert_near(last.as_secs_f64(), 100.0, 0.001, "time for a hundred jobs");
}

#[test]
fn a_batch_shares_decode_steps_that_grow_with_its_size() {
    let mut engine = Engine::new(EngineSpec { slots: 4, ..SPEC });
    let mut outputs = Vec::new();
    (0..4).for_each(|attempt| engine.submit(job(attempt), Time::ZERO, &mut outputs));
    let finished = drain(&mut engine, outputs);
    // Four sequential prefills, then 90 shared steps of 10 + 3 ms.
    let last = finished.last().expect("all finish").1;
    assert_near(last.as_secs_f64(), 0.4 + 90.0 * 0.013, 0.001, "time for a batch of four");
}

#[test]
fn a_cached_prefix_is_not_computed_again_until_it_is_evicted() {
    let mut engine = Engine::new(SPEC);
    let prefixed = |attempt: AttemptId, prefix: u64| Job {
        prefix,
        prefix_tokens: 1_000,
        prompt_tokens: 1_100,
        ..job(attempt)
    };
    let mut outputs = Vec::new();
    for (attempt, prefix) in [(0, 7), (1, 7), (2, 8), (3, 9), (4, 7)] {
        engine.submit(prefixed(attempt, prefix), Time::ZERO, &mut outputs);
    }
    let finished = drain(&mut engine, outputs);
    let times: Vec<f64> = finished.iter().map(|(_, at)| at.as_secs_f64()).collect();
    let durations: Vec<f64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_near(times[0], 2.0, 0.001, "prefix computed");
    assert_near(durations[0], 1.0, 0.001, "prefix cached");
    assert_near(durations[1], 2.0, 0.001, "another prefix");
    assert_near(durations[3], 2.0, 0.001, "the first prefix, evicted since");
}

#[test]
fn high_priority_runs_first_and_cancelling_frees_a_slot() {
    let mut engine = Engine::new(SPEC);
    let mut outputs = Vec::new();
    let urgent = Job { priority: Priority::Urgent, ..job(2) };
    for job in [job(0), job(1), urgent] {
        engine.submit(job, Time::ZERO, &mut outputs);
    }
    let half = Duration::from_millis(550);
    let work = engine.cancel(0, half, &mut outputs).expect("it runs");
    assert_eq!((work.prompt_tokens, work.output_tokens), (100, 46));
    let order: Vec<AttemptId> = drain(&mut engine, outputs).into_iter().map(|(id, _)| id).collect();
    assert_eq!(order, [2, 1]);
}
