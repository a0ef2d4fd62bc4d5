//! Guards against finished work that runs again because its run had been given up, and against a
//! late end that completes a task beside another run of it.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use yuccatack_core::{DurationMs, JobName, NodeName, QueueName, ServiceName, WorkerName};
use yuccatack_runs::{
    JobPhase, JobSpec, JobSubmission, JobTable, RunEnd, RunId, RunOutcome, RunStart, StepSpec,
    TaskId, WorkerIncarnation,
};

const NOW_UNIX_MS: u64 = 1_000;

fn name() -> JobName {
    JobName::new("job").unwrap()
}

fn table(steps: Vec<StepSpec>) -> JobTable {
    let mut table = JobTable::default();
    table.submit(JobSubmission {
        name: name(),
        queue: QueueName::new("queue").unwrap(),
        service: ServiceName::new("pool").unwrap(),
        organisation: None,
        priority: 1,
        max_attempts: 2,
        stretch: 1.0,
        allowance_ms: DurationMs::ZERO,
        accepted_at_unix_ms: NOW_UNIX_MS,
        origin: None,
        spec: JobSpec { payload: Arc::from("payload"), steps, schedule: None },
    });
    table
}

fn step(task_count: u32, gang: bool, after: &[u32]) -> StepSpec {
    StepSpec { task_count, gang, after: after.to_vec(), ..StepSpec::default() }
}

fn run(step: u32, index: u32, number: u32) -> RunId {
    RunId { task: TaskId { job: name(), occurrence: 0, step, index }, number }
}

fn begin(table: &mut JobTable, runs: &[RunId]) -> bool {
    let incarnation = WorkerIncarnation {
        node: NodeName::new("w1").unwrap(),
        worker: WorkerName::new("w1").unwrap(),
        started_at_unix_ms: 5,
    };
    let start = |run: &RunId| RunStart { run: run.clone(), incarnation: incarnation.clone() };
    table.begin(&runs.iter().map(start).collect::<Vec<_>>())
}

fn end(table: &mut JobTable, run: &RunId, outcome: RunOutcome) {
    table.end(RunEnd { run: run.clone(), outcome, checkpoint: None }, NOW_UNIX_MS);
}

fn phase(table: &JobTable) -> JobPhase {
    table.job(&name()).unwrap().phase
}

#[test]
fn next_step_begins() {
    let mut table = table(vec![step(1, false, &[]), step(1, false, &[0])]);
    begin(&mut table, &[run(0, 0, 1)]);
    end(&mut table, &run(0, 0, 1), RunOutcome::WorkerLost);
    assert!(table.complete_late(&run(0, 0, 1), NOW_UNIX_MS));
    assert!(!begin(&mut table, &[run(0, 0, 2)]), "finished work ran again");
    assert!(begin(&mut table, &[run(1, 0, 1)]), "the next step waits for finished work");
    end(&mut table, &run(1, 0, 1), RunOutcome::WorkerLost);
    assert!(table.complete_late(&run(1, 0, 1), NOW_UNIX_MS));
    assert_eq!(phase(&table), JobPhase::Completed);
    assert!(!table.complete_late(&run(1, 0, 1), NOW_UNIX_MS), "a job completed twice");
}

#[test]
fn other_run_prevails() {
    let mut table = table(vec![step(1, false, &[])]);
    begin(&mut table, &[run(0, 0, 1)]);
    end(&mut table, &run(0, 0, 1), RunOutcome::WorkerLost);
    begin(&mut table, &[run(0, 0, 2)]);
    let before = table.clone();
    assert!(!table.complete_late(&run(0, 0, 1), NOW_UNIX_MS));
    assert!(!table.complete_late(&run(0, 0, 2), NOW_UNIX_MS), "an open run ended without an end");
    assert_eq!(table, before, "the end of a given-up run had an effect beside an open run");
    end(&mut table, &run(0, 0, 2), RunOutcome::Stopped);
    assert!(table.complete_late(&run(0, 0, 1), NOW_UNIX_MS));
    assert_eq!(phase(&table), JobPhase::Completed);
}

#[test]
fn member_completes_gang() {
    let members = |number| [run(0, 0, number), run(0, 1, number)];
    let mut table = table(vec![step(2, true, &[])]);
    begin(&mut table, &members(1));
    end(&mut table, &run(0, 0, 1), RunOutcome::WorkerLost);
    let mut other = table.clone();
    // The other member of the same run is still open.
    assert!(table.complete_late(&run(0, 0, 1), NOW_UNIX_MS));
    assert_eq!(phase(&table), JobPhase::Completed);
    end(&mut table, &run(0, 1, 1), RunOutcome::Stopped);
    assert!(!begin(&mut table, &members(2)), "a completed gang ran again");
    // The gang has begun again, so that each of its members prevents the completion.
    end(&mut other, &run(0, 1, 1), RunOutcome::Stopped);
    begin(&mut other, &members(2));
    end(&mut other, &run(0, 0, 2), RunOutcome::WorkerLost);
    assert!(!other.complete_late(&run(0, 0, 1), NOW_UNIX_MS), "a gang completed beside a run");
}

#[test]
fn ineligible_ends_ignored() {
    let mut table = table(vec![StepSpec { long_running: true, ..step(1, false, &[]) }]);
    begin(&mut table, &[run(0, 0, 1)]);
    end(&mut table, &run(0, 0, 1), RunOutcome::WorkerLost);
    let before = table.clone();
    for other in [run(0, 0, 1), run(0, 0, 2), run(0, 0, 0), run(0, 1, 1), run(1, 0, 1)] {
        assert!(!table.complete_late(&other, NOW_UNIX_MS), "{other} completed a task");
    }
    assert_eq!(table, before);
    table.cancel(&name(), NOW_UNIX_MS);
    assert!(!table.complete_late(&run(0, 0, 1), NOW_UNIX_MS), "a cancelled job completed");
}

/// Logs of earlier versions hold ends of runs that were given up before, which had no effect.
#[test]
fn stored_ends_keep_meaning() {
    let mut table = table(vec![step(1, false, &[])]);
    begin(&mut table, &[run(0, 0, 1)]);
    end(&mut table, &run(0, 0, 1), RunOutcome::WorkerLost);
    end(&mut table, &run(0, 0, 1), RunOutcome::Done);
    assert!(begin(&mut table, &[run(0, 0, 2)]), "a stored log leads to another state than before");
}
