//! Guards against tasks that serve users and are slowed unnoticed by tasks that use idle CPU time,
//! and against a rise of demand that is taken for such a slowdown.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{image, run};
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_interference::{InterferenceModel, Measure, RunSample, WorkerSample};

const WORKER_COUNT: u32 = 6;

/// Observes a serving run on each worker for ten minutes, beside a filling run now and then.
fn observe(slowdown: f64, demand: fn(u64) -> f64) -> InterferenceModel {
    let mut model = InterferenceModel::new();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let start = TimestampMs::new(1_000_000);
    for second in 0..600_u64 {
        for (worker, poll) in (0..WORKER_COUNT).flat_map(|worker| (0..6).map(move |p| (worker, p)))
        {
            let clock_ms = second * 1_000 + poll * 160;
            let now = start + DurationMs::new(clock_ms);
            let beside = (second + u64::from(worker) * 7) % 40 < 18;
            let factor = if beside { slowdown } else { 1.0 };
            let tail_ms = (40.0 * demand(second) * factor * rng.random_range(0.7..1.4)) as u64;
            let mut runs = vec![RunSample {
                run: run(1, worker),
                image: image("serving"),
                gang: false,
                measure: Measure::Latency { tail_ms },
            }];
            if beside {
                runs.push(RunSample {
                    run: run(2, worker),
                    image: image("filling"),
                    gang: false,
                    measure: Measure::Unmeasured,
                });
            }
            model.on_progress(&WorkerSample { clock_ms, speed: 1.0, runs }, now);
        }
    }
    model
}

#[test]
fn raised_latency_found() {
    let model = observe(1.8, |_| 1.0);
    let slowdown = model.slowdown("serving", "filling");
    assert!((1.5..2.1).contains(&slowdown), "slowdown {slowdown}");
}

#[test]
fn varying_demand_ignored() {
    let model = observe(1.0, |second| 1.0 + 0.5 * (second as f64 / 60.0).sin());
    assert!(model.pairs().is_empty(), "{:?}", model.pairs());
}
