//! Guards against guaranteed capacity that is not reclaimed in time from a borrower that is stopped,
//! takes a checkpoint or exceeds the time for a checkpoint.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Deployment, submit, wait_for_job, wait_for_worker};
use yuccatack_core::prelude::*;

/// Target for the start of an urgent job, including the time to reclaim its capacity.
const START_TARGET: Duration = Duration::from_millis(8_300);

const GIBIBYTE: u64 = 1 << 30;

fn organisation(name: &str) -> Value {
    json!({
        "schema_version": 2, "kind": "organisation", "name": name,
        "accelerator_quota_count": 8, "fair_share_weight": 1,
        "request_rate_per_s": 10, "request_concurrency_count": 4,
    })
}

fn guarantee(name: &str, organisation: &str) -> Value {
    json!({
        "schema_version": 2, "kind": "guarantee", "name": name, "organisation": organisation,
        "tasks": 8, "accelerators_per_task": 1, "cores_milli_per_task": 1000,
        "memory_bytes_per_task": GIBIBYTE, "adjacency": "worker", "shape_count": 1,
    })
}

fn job(name: &str, organisation: &str, class: &str, checkpointable: bool) -> Value {
    json!({
        "schema_version": 2, "kind": "job", "name": name, "organisation": organisation,
        "tasks": 8, "accelerators_per_task": 1, "cores_milli_per_task": 1000,
        "memory_bytes_per_task": GIBIBYTE, "adjacency": "worker", "class": class,
        "declared_run_time_s": 60, "idempotent": true, "checkpointable": checkpointable,
        "command": ["run"],
    })
}

/// Fills the only worker with the job of a borrower and returns the time until the urgent job of
/// the holder of the guarantee runs.
async fn measure_reclaim(checkpointable: bool, checkpoint_time: DurationMs) -> Duration {
    let deployment = Deployment::start(3).await;
    let operator = deployment.operator();
    for name in ["holder", "borrower"] {
        submit(&operator, name, organisation(name)).await;
    }
    wait_for_worker(&operator).await;
    submit(&operator, "guarantee", guarantee("holder-shape", "holder")).await;
    for name in ["borrowed", "urgent"] {
        let run_time = DurationMs::from_seconds(60);
        deployment.worker.set_run_time(&JobName::new(name).unwrap(), run_time);
    }
    deployment.worker.set_checkpoint_time(checkpoint_time);
    submit(&operator, "borrowed", job("borrowed", "borrower", "batch", checkpointable)).await;
    wait_for_job(&operator, "borrowed", "running").await;

    let submitted = Instant::now();
    submit(&operator, "urgent", job("urgent", "holder", "urgent", false)).await;
    wait_for_job(&operator, "urgent", "running").await;
    let elapsed = submitted.elapsed();
    let violations = deployment.worker.violations().await;
    assert!(violations.is_empty(), "{violations:?}");
    elapsed
}

#[tokio::test(flavor = "multi_thread")]
async fn borrowed_capacity_reclaimed() {
    let cases = [
        ("stopped and run again later", false, DurationMs::ZERO),
        ("checkpoint of 2 s", true, DurationMs::from_seconds(2)),
        ("checkpoint overdue", true, DurationMs::from_seconds(60)),
    ];
    for (name, checkpointable, checkpoint_time) in cases {
        let elapsed = measure_reclaim(checkpointable, checkpoint_time).await;
        eprintln!("{name}: the urgent job ran after {} ms", elapsed.as_millis());
        assert!(elapsed < START_TARGET, "{name}: {elapsed:?}");
    }
}
