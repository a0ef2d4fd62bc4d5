//! Guards against predictions that mix up slow machines and long tasks with the run times of a queue.

#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_core::{DurationMs, QueueName};
use yuccatack_progress::ProgressModel;

const ESTIMATE_MS: DurationMs = DurationMs::new(1_000);

fn queue() -> QueueName {
    QueueName::new("queue").unwrap()
}

/// Records runs that take these times on machines of these speeds.
fn record(model: &mut ProgressModel, runs: &[(u64, f64)]) {
    for (run_time_ms, speed) in runs {
        model.on_run_time(&queue(), ESTIMATE_MS, DurationMs::new(*run_time_ms), *speed);
    }
}

#[test]
fn slow_machines_separated() {
    let mut model = ProgressModel::new();
    assert_eq!(model.predict(&queue(), ESTIMATE_MS, 1.0), ESTIMATE_MS);
    for _ in 0..10 {
        record(&mut model, &[(2_000, 1.0), (4_000, 0.5)]);
    }
    let predicted_ms = |speed: f64| model.predict(&queue(), ESTIMATE_MS, speed).get();
    assert!((1_990..=2_010).contains(&predicted_ms(1.0)), "{}", predicted_ms(1.0));
    assert!((3_980..=4_020).contains(&predicted_ms(0.5)), "{}", predicted_ms(0.5));
    assert!((1_990..=2_010).contains(&model.typical_ms(&queue()).unwrap()));
}

#[test]
fn long_tail_separated() {
    let mut model = ProgressModel::new();
    for run in 0..200 {
        record(&mut model, &[(if run % 33 == 32 { 14_000 } else { 2_000 }, 1.0)]);
    }
    assert!((1_990..=2_010).contains(&model.predict(&queue(), ESTIMATE_MS, 1.0).get()));
    assert!((0.02..0.04).contains(&model.tail_share(&queue())), "{}", model.tail_share(&queue()));
    // When all runs are that long, the queue has changed.
    for _ in 0..200 {
        record(&mut model, &[(14_000, 1.0)]);
    }
    assert!(model.predict(&queue(), ESTIMATE_MS, 1.0).get() > 4_000, "the change is ignored");
}
