//! Guards against schedules with very many due occurrences that take the leader longer than an
//! election timeout, or fill its memory.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, step, tiny};
use yuccatack_core::DurationMs;
use yuccatack_dispatch::StartResult;
use yuccatack_runs::{JobTable, RunId, RunOutcome, Schedule, StepSpec};

/// Schedule whose occurrences are all due.
fn all_due(occurrence_count: u32) -> Option<Schedule> {
    let period_ms = DurationMs::new(0);
    Some(Schedule { first_at_unix_ms: 0, period_ms, occurrence_count })
}

/// Runs one pass, reports its starts and returns the runs.
fn answered_pass(cluster: &mut TestCluster) -> Vec<RunId> {
    let started = cluster.timed_pass();
    started.iter().for_each(|run| cluster.start_result(run, StartResult::Begun));
    cluster.advance(50);
    started
}

/// Returns the numbers of occurrences with progress over all jobs.
fn kept_count(table: &JobTable) -> usize {
    table.jobs().map(|job| job.occurrences.len()).sum()
}

#[test]
fn million_due() {
    let mut cluster = TestCluster::new(3);
    for index in 0..3 {
        cluster.submit_steps(&format!("heavy-{index}"), vec![tiny()], all_due(1_000_000));
    }
    cluster.submit("other", 2, step(1, 0));
    assert!(answered_pass(&mut cluster).contains(&run("other", 0, 1)));
    (0..5).for_each(|_| drop(answered_pass(&mut cluster)));
}

#[test]
fn completed_not_kept() {
    let mut cluster = TestCluster::new(3);
    cluster.submit_steps("heavy", vec![tiny()], all_due(2_000));
    let mut completed_count = 0;
    for _ in 0..100 {
        let started = answered_pass(&mut cluster);
        started.iter().for_each(|run| cluster.end(run, RunOutcome::Done));
        completed_count += started.len();
        assert!(kept_count(&cluster.table) <= started.len());
    }
    assert_eq!(completed_count, 2_000);
    let job = cluster.table.jobs().next().unwrap();
    assert!(job.phase.is_final());
    assert_eq!(job.completed_occurrences.range_count(), 1);
}

#[test]
fn progress_within_spare_bytes() {
    let mut cluster = TestCluster::new(3);
    // Small enough for the unanswered starts not to bound the occurrences.
    let heavy = vec![StepSpec { task_count: 10, ..tiny() }];
    for index in 0..4 {
        cluster.submit_steps(&format!("heavy-{index}"), heavy.clone(), all_due(1_000));
    }
    let occurrence_bytes = cluster.table.jobs().next().unwrap().progress_bytes();
    cluster.dispatcher.set_spare_bytes(3 * occurrence_bytes);
    answered_pass(&mut cluster);
    let kept_count = kept_count(&cluster.table);
    assert!((1..=4 + 3).contains(&kept_count), "{kept_count} occurrences began");
}

#[test]
fn unfinished_within_task_limit() {
    let mut cluster = TestCluster::new(40);
    let second = StepSpec { required_label: Some("none".into()), after: vec![0], ..tiny() };
    let many = StepSpec { task_count: 999, ..second };
    cluster.submit_steps("heavy", vec![tiny(), many], all_due(1_000));
    for _ in 0..10 {
        let started = answered_pass(&mut cluster);
        started.iter().for_each(|run| cluster.end(run, RunOutcome::Done));
    }
    assert_eq!(kept_count(&cluster.table), 20, "20 occurrences have 20,000 tasks");
}
