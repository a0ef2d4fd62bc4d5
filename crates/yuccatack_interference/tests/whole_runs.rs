//! Guards against wrong conclusions from runs whose neighbours never change, and against unbounded
//! memory.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{image, row, run};
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_interference::{InterferenceModel, Measure, WorkerSample};

const NOW: TimestampMs = TimestampMs::new(1_000_000);

/// Observes one run of `light` from its start to its end, beside a run of `other`.
fn observe_run(
    model: &mut InterferenceModel,
    (job, index): (u32, u32),
    other: Option<&Arc<str>>,
    run_time_ms: f64,
) {
    let neighbour = other.map(|other| row(run(1_000 + job, index), other, Measure::Unmeasured));
    for clock_ms in (0..run_time_ms as u64).step_by(150) {
        let percent = (clock_ms as f64 * 100.0 / run_time_ms) as u8;
        let mut runs = vec![row(run(job, index), &image("light"), Measure::Progress { percent })];
        runs.extend(neighbour.clone());
        model.on_progress(&WorkerSample { clock_ms, speed: 1.0, runs }, NOW);
    }
    model.on_end(&run(job, index), NOW);
}

#[test]
fn steps_compared() {
    let (mut model, heavy) = (InterferenceModel::new(), image("heavy"));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for job in 0..60 {
        for index in 0..12 {
            let beside = index % 3 == 2;
            let slowdown = if beside { 2.0 } else { 1.0 };
            let run_time_ms = 4_000.0 * slowdown * rng.random_range(0.75..1.25);
            observe_run(&mut model, (job, index), beside.then_some(&heavy), run_time_ms);
        }
    }
    let slowdown = model.slowdown("light", "heavy");
    assert!((1.7..2.3).contains(&slowdown), "slowdown {slowdown}");
}

/// Three runs of seven times the usual length happen to be beside another image.
#[test]
fn long_tasks_not_blamed() {
    let (mut model, other) = (InterferenceModel::new(), image("other"));
    for job in 0..6 {
        for index in 0..12 {
            let long = job < 3 && index == 11;
            let run_time_ms = if long { 28_000.0 } else { 4_000.0 };
            observe_run(&mut model, (job, index), (index >= 10).then_some(&other), run_time_ms);
        }
    }
    assert!(model.pairs().is_empty(), "{:?}", model.pairs());
}

/// Every step runs beside the other image only, so that nothing shows how fast it would be alone.
#[test]
fn no_contrast_no_pair() {
    let (mut model, other) = (InterferenceModel::new(), image("other"));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for job in 0..40 {
        for index in 0..12 {
            let run_time_ms = 4_000.0 * f64::from(job + 1) * rng.random_range(0.75..1.25);
            observe_run(&mut model, (job, index), Some(&other), run_time_ms.min(30_000.0));
        }
    }
    assert!(model.pairs().is_empty(), "{:?}", model.pairs());
}

#[test]
fn further_images_ignored() {
    let mut model = InterferenceModel::new();
    for number in 0..2_000 {
        let other = image(&format!("image-{number}"));
        observe_run(&mut model, (number, 0), Some(&other), 1_000.0);
    }
    assert!(model.image_count() <= 64, "{} images are kept", model.image_count());
    assert!(model.pairs().is_empty());
}

#[test]
fn unfinished_runs_expire() {
    let mut model = InterferenceModel::new();
    let measure = Measure::Progress { percent: 10 };
    let runs = vec![row(run(1, 0), &image("light"), measure)];
    let sample = WorkerSample { clock_ms: 0, speed: 1.0, runs };
    model.on_progress(&sample, NOW);
    assert_eq!(model.run_count(), 1);
    model.expire(NOW + DurationMs::new(61_000));
    assert_eq!(model.run_count(), 0, "a run without an end is kept for ever");
}
