//! Guards against work that keeps being placed on a worker whose runs all fail or stall.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step, stops};
use yuccatack_core::DurationMs;
use yuccatack_runs::{RunOutcome, StepSpec};

#[test]
fn failing_worker_quarantined() {
    let mut cluster = TestCluster::new(1);
    for job in ["a", "b"] {
        cluster.submit(job, 1, step(1, 8));
        assert_eq!(starts(&cluster.decide()), [run(job, 0, 1)]);
        cluster.report_begun(&run(job, 0, 1));
        cluster.advance(100);
        cluster.table.cancel(&run(job, 0, 1).task.job, cluster.now.get());
        cluster.observe(0, &[], &[(run(job, 0, 1), RunOutcome::Failed)], &[]);
    }
    cluster.submit("c", 1, step(1, 8));
    assert!(starts(&cluster.decide()).is_empty(), "a worker on which all runs fail got more work");
    cluster.advance(4_500);
    cluster.observe(0, &[], &[], &[]);
    assert_eq!(
        starts(&cluster.decide()),
        [run("c", 0, 1)],
        "the quarantine of the worker did not end"
    );
}

#[test]
fn last_attempt_on_reliable() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    cluster.observe(0, &[], &[(run("a", 0, 1), RunOutcome::Failed)], &[]);
    assert!(starts(&cluster.decide()).is_empty(), "the last attempt went to the failing worker");
    cluster.advance(4_100);
    cluster.observe(0, &[], &[], &[]);
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 2)], "the last attempt was never placed");
}

#[test]
fn stalled_run_stopped() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    for _ in 0..12 {
        cluster.advance(300);
        cluster.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
    }
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
}

#[test]
fn long_run_not_stalled() {
    let mut cluster = TestCluster::new(1);
    let two_hours = DurationMs::new(2 * 3_600_000);
    cluster.submit("a", 1, StepSpec { estimated_run_ms: two_hours, ..step(1, 8) });
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    // Such a run advances by one percent in 72 s.
    for _ in 0..250 {
        cluster.advance(300);
        cluster.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
        assert!(stops(&cluster.decide()).is_empty(), "a long run was stopped as stalled");
    }
}

#[test]
fn leader_pause_ignored() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    cluster.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
    // The leader was paused; the observations that queued up meanwhile arrive at once.
    cluster.advance(5_000);
    cluster.observe(0, &[(run("a", 0, 1), 40)], &[], &[]);
    assert!(
        stops(&cluster.decide()).is_empty(),
        "a healthy run was stopped after a pause of the leader"
    );
}

/// Creates a cluster in which both members of a gang run, each on its own worker.
fn gang_of_two() -> (TestCluster, [usize; 2]) {
    let mut cluster = TestCluster::new(2);
    cluster.submit("a", 1, StepSpec { gang: true, ..step(2, 8) });
    cluster.decide();
    let worker_indexes = [0, 1].map(|index| cluster.worker_of(&run("a", index, 1)));
    (0..2).for_each(|index| cluster.report_begun(&run("a", index, 1)));
    (cluster, worker_indexes)
}

#[test]
fn fast_member_waits() {
    let (mut cluster, [fast, slow]) = gang_of_two();
    for poll_index in 0..16 {
        cluster.advance(300);
        cluster.observe(fast, &[(run("a", 0, 1), 100)], &[], &[]);
        cluster.observe(slow, &[(run("a", 1, 1), 80 + poll_index)], &[], &[]);
        assert!(
            stops(&cluster.decide()).is_empty(),
            "a gang was stopped while one member made progress"
        );
    }
}

#[test]
fn stalled_member_detected() {
    let (mut cluster, [done, stuck]) = gang_of_two();
    for _ in 0..12 {
        cluster.advance(300);
        cluster.observe(done, &[(run("a", 0, 1), 100)], &[], &[]);
        cluster.observe(stuck, &[(run("a", 1, 1), 60)], &[], &[]);
    }
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1), run("a", 1, 1)]);
}
