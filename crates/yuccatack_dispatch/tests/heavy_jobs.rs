//! Guards against jobs that are legal in size and whose scheduling takes the leader longer than an
//! election timeout: each leader in turn would lose its leadership, and no caller got an answer.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, step, tiny};
use yuccatack_core::Resources;
use yuccatack_dispatch::StartResult;
use yuccatack_runs::{RunOutcome, StepSpec};

const STEP_COUNT: usize = 20_000;

/// Step that fits on no worker.
fn too_large() -> StepSpec {
    StepSpec { demand: Resources { cores_milli: 1 << 20, ..Resources::default() }, ..tiny() }
}

/// Runs up to `limit_count` passes until one starts a run of `job`.
fn pass_that_starts(cluster: &mut TestCluster, job: &str, limit_count: usize) -> Option<usize> {
    (0..limit_count).find(|_| {
        let started = cluster.timed_pass();
        cluster.advance(50);
        started.iter().any(|run| run.task.job.as_str() == job)
    })
}

#[test]
fn many_steps() {
    let mut cluster = TestCluster::new(3);
    cluster.submit_steps("heavy", vec![tiny(); STEP_COUNT], None);
    cluster.submit("other", 2, step(3, 0));
    let started = cluster.timed_pass();
    assert!(started.contains(&run("other", 0, 1)), "the heavy job took all starts of the pass");
    assert!(started.iter().any(|run| run.task.job.as_str() == "heavy"));
}

#[test]
fn long_chain() {
    let mut cluster = TestCluster::new(3);
    let after = |index: usize| index.checked_sub(1).map(|earlier| earlier as u32);
    let link = |index| StepSpec { after: after(index).into_iter().collect(), ..tiny() };
    cluster.submit_steps("heavy", (0..STEP_COUNT).map(link).collect(), None);
    assert_eq!(cluster.timed_pass(), [run("heavy", 0, 1)]);
}

#[test]
fn repeated_dependency() {
    let mut cluster = TestCluster::new(3);
    let first = StepSpec { task_count: 100, ..tiny() };
    let last = StepSpec { task_count: 10_000, after: vec![0; 125_000], ..tiny() };
    cluster.submit_steps("heavy", vec![first, last], None);
    let first_runs = cluster.timed_pass();
    assert_eq!(first_runs.len(), 100);
    first_runs.iter().for_each(|run| cluster.end(run, RunOutcome::Done));
    assert!(!cluster.timed_pass().is_empty(), "the last step did not begin");
}

#[test]
fn blocked_steps() {
    let mut cluster = TestCluster::new(40);
    let steps = (0..STEP_COUNT).map(|index| if index == 15_000 { tiny() } else { too_large() });
    cluster.submit_steps("heavy", steps.collect(), None);
    cluster.submit("other", 2, step(1, 0));
    assert!(pass_that_starts(&mut cluster, "other", 40).is_some(), "the other job never began");
    let begins = cluster.table.open_runs().keys().any(|run| run.task.job.as_str() == "heavy")
        || pass_that_starts(&mut cluster, "heavy", 40).is_some();
    assert!(begins, "the step that fits never began");
}

#[test]
fn blocked_steps_beyond_window() {
    let mut cluster = TestCluster::new(3);
    let steps = (0..STEP_COUNT).map(|index| if index == 19_500 { tiny() } else { too_large() });
    cluster.submit_steps("heavy", steps.collect(), None);
    // With these, more groups are ready than a pass considers.
    cluster.submit_steps("blocked", vec![too_large(); STEP_COUNT], None);
    assert!(pass_that_starts(&mut cluster, "heavy", 10).is_some(), "the step was never considered");
}

#[test]
fn blocked_steps_of_many_jobs() {
    let mut cluster = TestCluster::new(40);
    for index in 0..50 {
        cluster.submit_steps(&format!("heavy-{index}"), vec![too_large(); 1_000], None);
    }
    cluster.submit("other", 2, step(1, 0));
    assert!(pass_that_starts(&mut cluster, "other", 40).is_some(), "the other job never began");
}

#[test]
fn wide_gang() {
    let mut cluster = TestCluster::new(40);
    let gang = StepSpec { task_count: 20_000, gang: true, ..tiny() };
    cluster.submit_steps("heavy", vec![gang], None);
    let first = cluster.timed_pass();
    assert_eq!(cluster.table.open_runs().len(), 20_000, "a gang begins as a whole");
    // The messages of one pass do not hold all starts.
    let second = cluster.timed_pass();
    assert_eq!(first.len() + second.len(), 20_000);
}

#[test]
fn unanswered_starts_bounded() {
    let mut cluster = TestCluster::new(1);
    let many = StepSpec { task_count: 20_000, ..tiny() };
    cluster.submit_steps("heavy", vec![many], None);
    let started = cluster.timed_pass();
    assert!(cluster.timed_pass().is_empty(), "began more runs before a start was answered");
    cluster.submit("other", 2, step(1, 0));
    assert_eq!(cluster.timed_pass(), [run("other", 0, 1)]);
    for run in &started {
        cluster.start_result(run, StartResult::Begun);
    }
    assert!(!cluster.timed_pass().is_empty(), "the other tasks do not begin");
}

#[test]
fn blocked_gangs_on_many_workers() {
    let mut cluster = TestCluster::new(1_000);
    let gang = StepSpec { task_count: 40, gang: true, rack_local: true, ..step(40, 8) };
    cluster.submit_steps("heavy", vec![gang; 500], None);
    cluster.timed_pass();
}

/// Answers all starts until no further run begins.
fn fill(cluster: &mut TestCluster) {
    loop {
        let started = cluster.timed_pass();
        if started.is_empty() {
            return;
        }
        started.iter().for_each(|run| cluster.start_result(run, StartResult::Begun));
        cluster.advance(10);
    }
}

#[test]
fn lasting_tasks_leave_room() {
    let mut cluster = TestCluster::new(3);
    let lasting = StepSpec { task_count: 20_000, long_running: true, ..tiny() };
    for index in 0..3 {
        cluster.submit_for(&format!("lasting-{index}"), Some("a"), 1, lasting.clone());
        fill(&mut cluster);
    }
    cluster.submit_for("other", Some("b"), 2, step(3, 1));
    assert_eq!(cluster.timed_pass().len(), 3, "tasks that need nothing took all runs");
}

#[test]
fn lasting_jobs_leave_room() {
    let mut cluster = TestCluster::new(3);
    for index in 0..4_000 {
        let lasting = StepSpec { long_running: true, ..tiny() };
        cluster.submit_for(&format!("lasting-{index}"), Some("a"), 1, lasting);
    }
    fill(&mut cluster);
    cluster.submit_for("other", Some("b"), 2, step(3, 1));
    assert_eq!(cluster.timed_pass().len(), 3, "jobs that need nothing took all runs");
}

#[test]
fn lasting_tasks_on_many_workers() {
    let mut cluster = TestCluster::new(200);
    let lasting = StepSpec { task_count: 20_000, long_running: true, ..tiny() };
    for index in 0..5 {
        cluster.submit_for(&format!("lasting-{index}"), Some("a"), 1, lasting.clone());
    }
    fill(&mut cluster);
    cluster.submit_for("other", Some("b"), 2, step(3, 1));
    assert_eq!(cluster.timed_pass().len(), 3, "one organisation took all runs");
}

#[test]
fn wide_gang_beside_starts() {
    let mut cluster = TestCluster::new(40);
    let gang = StepSpec { task_count: 3_000, gang: true, ..tiny() };
    cluster.submit_for("gang", None, 2, gang);
    for index in 0..20 {
        cluster.submit(&format!("other-{index}"), 0, step(1, 1));
        if cluster.timed_pass().iter().any(|run| run.task.job.as_str() == "gang") {
            return;
        }
    }
    panic!("the gang waits as long as other work begins in each pass");
}
