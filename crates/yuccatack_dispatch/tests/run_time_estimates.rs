//! Guards against deadlines that follow the callers' estimates when these are off by several times,
//! so that jobs with a high estimate wait behind all that came later.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step};
use yuccatack_core::DurationMs;
use yuccatack_runs::{RunOutcome, StepSpec};

const RUN_TIME_MS: u64 = 2_000;
const LOW_ESTIMATE_MS: u64 = 500;
const HIGH_ESTIMATE_MS: u64 = 8_000;

fn estimated(estimate_ms: u64) -> StepSpec {
    StepSpec { estimated_run_ms: DurationMs::new(estimate_ms), ..step(1, 8) }
}

/// Completes a job of one task on the only worker.
fn complete(cluster: &mut TestCluster, name: &str, estimate_ms: u64) {
    cluster.submit(name, 1, estimated(estimate_ms));
    let only_run = run(name, 0, 1);
    assert_eq!(starts(&cluster.decide()).first(), Some(&only_run));
    cluster.report_begun(&only_run);
    cluster.observe(0, &[(only_run.clone(), 0)], &[], &[]);
    cluster.advance(RUN_TIME_MS);
    cluster.observe(0, &[], &[(only_run, RunOutcome::Done)], &[]);
}

/// Returns the first of two waiting jobs, of which the one with the high estimate came 3 s earlier.
fn first_begun(cluster: &mut TestCluster) -> String {
    cluster.submit("busy", 1, estimated(LOW_ESTIMATE_MS));
    let busy = run("busy", 0, 1);
    assert_eq!(starts(&cluster.decide()).first(), Some(&busy));
    cluster.report_begun(&busy);
    cluster.submit("earlier", 1, estimated(HIGH_ESTIMATE_MS));
    cluster.advance(3_000);
    cluster.submit("later", 1, estimated(LOW_ESTIMATE_MS));
    cluster.observe(0, &[], &[(busy, RunOutcome::Done)], &[]);
    starts(&cluster.decide())[0].task.job.as_str().to_owned()
}

#[test]
fn wrong_estimates_outweighed() {
    let mut cluster = TestCluster::new(1);
    for job_index in 0..6 {
        let estimate_ms = if job_index % 2 == 0 { LOW_ESTIMATE_MS } else { HIGH_ESTIMATE_MS };
        complete(&mut cluster, &format!("past{job_index}"), estimate_ms);
    }
    assert_eq!(first_begun(&mut cluster), "earlier", "the wrong estimate set the deadline");
}

#[test]
fn estimate_used_first() {
    assert_eq!(first_begun(&mut TestCluster::new(1)), "later");
}
