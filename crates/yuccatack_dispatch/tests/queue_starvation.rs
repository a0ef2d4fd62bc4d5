//! Guards against a shortage of capacity that falls on the least urgent queue alone, so that its
//! jobs never run.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step, stops};
use yuccatack_runs::{RunId, RunOutcome};

fn of_job(runs: &[RunId], prefix: &str) -> usize {
    runs.iter().filter(|run| run.task.job.as_str().starts_with(prefix)).count()
}

#[test]
fn least_urgent_progresses() {
    let mut cluster = TestCluster::new(5);
    for job_index in 0..12 {
        cluster.submit(&format!("backlog{job_index}"), 1, step(1, 8));
    }
    let begun = starts(&cluster.decide());
    assert_eq!(begun.len(), 5);
    begun.iter().for_each(|run| cluster.report_begun(run));
    cluster.submit("least", 2, step(4, 1));
    cluster.advance(300);
    let worker_index = cluster.worker_of(&begun[0]);
    cluster.observe(worker_index, &[], &[(begun[0].clone(), RunOutcome::Done)], &[]);
    assert!(
        of_job(&starts(&cluster.decide()), "least") > 0,
        "the backlog of a more urgent queue took all freed capacity"
    );
}

#[test]
fn share_is_bounded() {
    let mut cluster = TestCluster::new(5);
    for job_index in 0..5 {
        cluster.submit(&format!("least{job_index}"), 2, step(1, 8));
        cluster.submit(&format!("more{job_index}"), 1, step(1, 8));
    }
    // Each queue claims a quarter of the accelerators, rounded up to whole jobs. The rest is taken in
    // the order of the priorities.
    let begun = starts(&cluster.decide());
    assert_eq!((of_job(&begun, "more"), of_job(&begun, "least")), (3, 2));
}

#[test]
fn share_not_evicted() {
    let mut cluster = TestCluster::new(3);
    cluster.submit("least", 2, step(8, 1));
    cluster.submit("middle", 1, step(2, 8));
    let begun = starts(&cluster.decide());
    assert_eq!(begun.len(), 10);
    begun.iter().for_each(|run| cluster.report_begun(run));
    for worker_index in 0..3 {
        let on_worker = begun.iter().filter(|run| cluster.worker_of(run) == worker_index);
        let percent = |run: &RunId| if run.task.job.as_str() == "least" { 1 } else { 90 };
        let rows: Vec<_> = on_worker.map(|run| (run.clone(), percent(run))).collect();
        cluster.observe(worker_index, &rows, &[], &[]);
    }
    // Evicting all eight runs of the least urgent queue loses less work than one of the other.
    cluster.submit("urgent", 0, step(1, 8));
    let victims = stops(&cluster.decide());
    assert_eq!(
        (of_job(&victims, "middle"), of_job(&victims, "least")),
        (1, 0),
        "the least urgent queue lost its minimum share to one eviction"
    );
}

#[test]
fn share_outlasts_burst() {
    let mut cluster = TestCluster::new(8);
    cluster.submit("least", 2, step(8, 8));
    let begun = starts(&cluster.decide());
    begun.iter().for_each(|run| cluster.report_begun(run));
    for job_index in 0..8 {
        cluster.submit(&format!("urgent{job_index}"), 0, step(1, 8));
    }
    // The minimum share is 0.3 of 8 workers: 0.1 and half of 0.4.
    let first = stops(&cluster.decide()).len();
    let second = stops(&cluster.decide()).len();
    assert_eq!(first + second, 5, "several urgent jobs together took the minimum share");
}

#[test]
fn share_yields_to_guarantee() {
    let mut cluster = TestCluster::new(1);
    cluster.add_organisation("owner", 8);
    cluster.submit("least", 2, step(8, 1));
    cluster.decide();
    (0..8).for_each(|index| cluster.report_begun(&run("least", index, 1)));
    let rows: Vec<_> = (0..8).map(|index| (run("least", index, 1), 50)).collect();
    cluster.observe(0, &rows, &[], &[]);
    cluster.submit_for("urgent", Some("owner"), 0, step(1, 8));
    assert_eq!(stops(&cluster.decide()).len(), 8, "a minimum share delayed guaranteed work");
}

#[test]
fn flood_is_bounded() {
    let mut cluster = TestCluster::new(10);
    for job_index in 0..40 {
        cluster.submit(&format!("flood{job_index}"), 2, step(1, 8));
    }
    for job_index in 0..10 {
        cluster.submit(&format!("more{job_index}"), 1, step(1, 8));
    }
    // Either queue could use the whole capacity, so that each claims a quarter of it, rounded up.
    let begun = starts(&cluster.decide());
    assert_eq!((of_job(&begun, "more"), of_job(&begun, "flood")), (7, 3));
}
