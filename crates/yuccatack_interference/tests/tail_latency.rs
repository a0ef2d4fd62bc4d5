//! Guards against tasks that serve users and are slowed unnoticed by tasks that use idle CPU time,
//! and against a rise of demand that is taken for such a slowdown.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{image, row, run};
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_interference::{InterferenceModel, Measure, WorkerSample};

const WORKER_COUNT: u32 = 6;

/// Observes a serving run on each worker for ten minutes. Beside those that `is_beside` selects by
/// the second and the worker, there is a filling run.
fn observe(
    slowdown: f64,
    demand: fn(u64, u32) -> f64,
    is_beside: fn(u64, u32) -> bool,
) -> InterferenceModel {
    let mut model = InterferenceModel::new();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let start = TimestampMs::new(1_000_000);
    for second in 0..600_u64 {
        for (worker, poll) in (0..WORKER_COUNT).flat_map(|worker| (0..6).map(move |p| (worker, p)))
        {
            let clock_ms = second * 1_000 + poll * 160;
            let now = start + DurationMs::new(clock_ms);
            let beside = is_beside(second, worker);
            let factor = if beside { slowdown } else { 1.0 };
            let tail_ms =
                (40.0 * demand(second, worker) * factor * rng.random_range(0.7..1.4)) as u64;
            let measure = Measure::Latency { tail_ms };
            let mut runs = vec![row(run(1, worker), &image("serving"), measure)];
            if beside {
                runs.push(row(run(2, worker), &image("filling"), Measure::Unmeasured));
            }
            model.on_progress(&WorkerSample { clock_ms, speed: 1.0, runs }, now);
        }
    }
    model
}

fn now_and_then(second: u64, worker: u32) -> bool {
    (second + u64::from(worker) * 7) % 40 < 18
}

#[test]
fn raised_latency_found() {
    let model = observe(1.8, |_, _| 1.0, now_and_then);
    let slowdown = model.slowdown("serving", "filling");
    assert!((1.5..2.1).contains(&slowdown), "slowdown {slowdown}");
}

#[test]
fn varying_demand_ignored() {
    let demand = |second, _| 1.0 + 0.5 * (second as f64 / 60.0).sin();
    let model = observe(1.0, demand, now_and_then);
    assert!(model.pairs().is_empty(), "{:?}", model.pairs());
}

/// The filling image is only beside the task on a worker whose users wait longer anyway.
#[test]
fn busy_worker_not_blamed() {
    let demand = |_, worker| if worker == 0 { 2.0 } else { 1.0 };
    let model = observe(1.0, demand, |_, worker| worker == 0);
    assert!(model.pairs().is_empty(), "{:?}", model.pairs());
}
