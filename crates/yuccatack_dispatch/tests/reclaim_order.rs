//! Guards against guaranteed work that waits behind other work, and against evictions that are not
//! needed or lose more work than necessary.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step, stops};
use yuccatack_runs::{RunOutcome, StepSpec};

#[test]
fn guaranteed_evicts() {
    let mut cluster = TestCluster::new(1);
    cluster.add_organisation("owner", 8);
    cluster.submit("low", 2, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("low", 0, 1));
    cluster.submit_for("urgent", Some("owner"), 0, step(1, 8));
    cluster.observe(0, &[(run("low", 0, 1), 10)], &[], &[]);
    assert_eq!(stops(&cluster.decide()), [run("low", 0, 1)]);
    cluster.advance(400);
    cluster.observe(0, &[], &[(run("low", 0, 1), RunOutcome::Stopped)], &[]);
    // The freed capacity goes to the job that it was freed for.
    cluster.submit("other", 0, step(1, 8));
    assert_eq!(starts(&cluster.decide()), [run("urgent", 0, 1)]);
}

#[test]
fn guaranteed_not_evicted() {
    let mut cluster = TestCluster::new(1);
    cluster.add_organisation("owner", 8);
    cluster.submit_for("first", Some("owner"), 0, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("first", 0, 1));
    cluster.submit("second", 0, step(1, 8));
    cluster.observe(0, &[(run("first", 0, 1), 10)], &[], &[]);
    assert!(stops(&cluster.decide()).is_empty(), "guaranteed work was evicted");
}

#[test]
fn beyond_guarantee_evicted() {
    let mut cluster = TestCluster::new(1);
    cluster.add_organisation("owner", 4);
    cluster.submit("greedy", 0, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("greedy", 0, 1));
    cluster.submit_for("urgent", Some("owner"), 0, step(1, 4));
    cluster.observe(0, &[(run("greedy", 0, 1), 10)], &[], &[]);
    assert_eq!(stops(&cluster.decide()), [run("greedy", 0, 1)]);
}

#[test]
fn cheapest_evicted() {
    let mut cluster = TestCluster::new(1);
    let long = StepSpec { estimated_run_ms: yuccatack_core::DurationMs::new(9_000), ..step(1, 4) };
    cluster.submit("costly", 2, long.clone());
    cluster.submit("saved", 2, StepSpec { checkpointing: true, ..long });
    cluster.decide();
    cluster.report_begun(&run("costly", 0, 1));
    cluster.report_begun(&run("saved", 0, 1));
    cluster.submit("urgent", 0, step(1, 4));
    cluster.observe(0, &[(run("costly", 0, 1), 50), (run("saved", 0, 1), 50)], &[], &[]);
    assert_eq!(stops(&cluster.decide()), [run("saved", 0, 1)]);
}

#[test]
fn equal_priority_waits() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("first", 1, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("first", 0, 1));
    cluster.submit("second", 1, step(1, 8));
    cluster.observe(0, &[(run("first", 0, 1), 10)], &[], &[]);
    assert!(stops(&cluster.decide()).is_empty());
}

#[test]
fn burst_searches_limited() {
    // Each urgent task needs a search over all runs; one pass must not make all 40 of them.
    let worker_count = 40;
    let mut cluster = TestCluster::new(worker_count);
    for worker_index in 0..worker_count {
        cluster.submit(&format!("low{worker_index}"), 2, step(1, 8));
    }
    let low = starts(&cluster.decide());
    assert_eq!(low.len(), worker_count);
    for run in &low {
        cluster.report_begun(run);
    }
    cluster.add_organisation("owner", 320);
    for job_index in 0..worker_count {
        cluster.submit_for(&format!("urgent{job_index}"), Some("owner"), 0, step(1, 8));
    }
    let first = stops(&cluster.decide()).len();
    assert!((1..worker_count).contains(&first), "{first} evictions in one scheduling pass");
    let second = stops(&cluster.decide()).len();
    assert_eq!(
        first + second,
        worker_count,
        "capacity reserved for one job was promised to another"
    );
}

#[test]
fn tasks_reclaimed_together() {
    let mut cluster = TestCluster::new(4);
    cluster.add_organisation("holder", 32);
    cluster.submit("background", 2, step(4, 8));
    cluster.decide();
    (0..4).for_each(|index| cluster.report_begun(&run("background", index, 1)));
    // Reclaiming one task after the other takes a stop each, which misses the time limit of a
    // guarantee when there are many tasks.
    cluster.submit_for("urgent", Some("holder"), 0, step(3, 8));
    assert_eq!(stops(&cluster.decide()).len(), 3, "the tasks of one job were reclaimed in turn");
}

#[test]
fn urgent_run_not_evicted() {
    let mut cluster = TestCluster::new(2);
    cluster.add_organisation("holder", 16);
    cluster.submit("background", 2, step(1, 8));
    cluster.submit("urgent", 0, step(1, 8));
    cluster.decide();
    // The less urgent run loses more work, but its job has time to repeat it.
    for (job, percent) in [("background", 60), ("urgent", 1)] {
        let started_run = run(job, 0, 1);
        cluster.report_begun(&started_run);
        cluster.observe(
            cluster.worker_of(&started_run),
            &[(started_run.clone(), percent)],
            &[],
            &[],
        );
    }
    cluster.submit_for("guaranteed", Some("holder"), 0, step(1, 8));
    assert_eq!(stops(&cluster.decide()), [run("background", 0, 1)]);
}

#[test]
fn late_job_not_evicting() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("low", 2, step(2, 4));
    cluster.decide();
    (0..2).for_each(|index| cluster.report_begun(&run("low", index, 1)));
    // Its objective is 7 s and its run time 2 s.
    cluster.submit("urgent", 0, step(1, 4));
    cluster.advance(6_100);
    cluster.observe(0, &[(run("low", 0, 1), 10), (run("low", 1, 1), 10)], &[], &[]);
    assert!(
        stops(&cluster.decide()).is_empty(),
        "a run was evicted for a job that misses its objective anyway"
    );
}

#[test]
fn timely_job_evicts() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("low", 2, step(2, 4));
    cluster.decide();
    (0..2).for_each(|index| cluster.report_begun(&run("low", index, 1)));
    cluster.submit("urgent", 0, step(1, 4));
    cluster.advance(5_900);
    cluster.observe(0, &[(run("low", 0, 1), 10), (run("low", 1, 1), 10)], &[], &[]);
    assert_eq!(stops(&cluster.decide()).len(), 1);
}
