//! Guards against lost and duplicated work in the replicated table: a job stored twice, two open
//! runs of one task, a gang begun only in part, and miscounted attempts.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use yuccatack_core::{DurationMs, JobName, NodeName, QueueName, ServiceName, WorkerName};
use yuccatack_runs::{
    CancelOutcome, JobPhase, JobSpec, JobSpecError, JobSubmission, JobTable, RunEnd, RunId,
    RunOutcome, RunStart, Schedule, StepSpec, SubmitOutcome, TaskId, WorkerIncarnation,
};

const NOW_UNIX_MS: u64 = 1_000;

fn step(task_count: u32, gang: bool, after: &[u32]) -> StepSpec {
    StepSpec { task_count, gang, after: after.to_vec(), ..StepSpec::default() }
}

fn submission(steps: Vec<StepSpec>, schedule: Option<Schedule>) -> JobSubmission {
    JobSubmission {
        name: JobName::new("job").unwrap(),
        queue: QueueName::new("queue").unwrap(),
        service: ServiceName::new("pool").unwrap(),
        organisation: None,
        priority: 1,
        max_attempts: 2,
        stretch: 1.0,
        allowance_ms: DurationMs::ZERO,
        accepted_at_unix_ms: NOW_UNIX_MS,
        origin: None,
        spec: JobSpec { payload: Arc::from("payload"), steps, schedule },
    }
}

fn table(steps: Vec<StepSpec>) -> JobTable {
    let mut table = JobTable::default();
    assert_eq!(table.submit(submission(steps, None)), SubmitOutcome::Accepted);
    table
}

fn incarnation(name: &str) -> WorkerIncarnation {
    WorkerIncarnation {
        node: NodeName::new(name).unwrap(),
        worker: WorkerName::new(name).unwrap(),
        started_at_unix_ms: 5,
    }
}

fn run(step: u32, index: u32, number: u32) -> RunId {
    let job = JobName::new("job").unwrap();
    RunId { task: TaskId { job, occurrence: 0, step, index }, number }
}

fn start(run: RunId) -> RunStart {
    RunStart { run, incarnation: incarnation("w1") }
}

fn end(run: RunId, outcome: RunOutcome) -> RunEnd {
    RunEnd { run, outcome, checkpoint: None }
}

fn phase(table: &JobTable) -> JobPhase {
    table.job(&JobName::new("job").unwrap()).unwrap().phase
}

#[test]
fn duplicate_not_stored() {
    let mut table = table(vec![step(1, false, &[])]);
    let other = submission(vec![step(9, false, &[])], None);
    assert_eq!(table.submit(other), SubmitOutcome::AlreadyStored);
    assert_eq!(table.jobs().next().unwrap().submission.spec.steps[0].task_count, 1);
}

#[test]
fn single_open_run() {
    let mut table = table(vec![step(1, false, &[])]);
    assert!(table.begin(&[start(run(0, 0, 1))]));
    assert!(
        !table.begin(&[start(run(0, 0, 2))]),
        "a second run of the task began while the first was open"
    );
    assert!(table.end(end(run(0, 0, 1), RunOutcome::WorkerLost), NOW_UNIX_MS));
    assert!(
        !table.end(end(run(0, 0, 1), RunOutcome::Done), NOW_UNIX_MS),
        "the same run ended twice"
    );
    assert!(!table.begin(&[start(run(0, 0, 1))]), "a run number was used twice");
    assert!(table.begin(&[start(run(0, 0, 2))]));
    table.end(end(run(0, 0, 2), RunOutcome::Done), NOW_UNIX_MS);
    assert_eq!(phase(&table), JobPhase::Completed);
    assert!(!table.begin(&[start(run(0, 0, 3))]), "a completed task began again");
}

#[test]
fn step_order_enforced() {
    let mut table = table(vec![step(2, false, &[]), step(1, false, &[0])]);
    assert!(table.begin(&[start(run(0, 0, 1))]));
    table.end(end(run(0, 0, 1), RunOutcome::Done), NOW_UNIX_MS);
    assert!(!table.begin(&[start(run(1, 0, 1))]), "a step began before its predecessor completed");
    assert!(table.begin(&[start(run(0, 1, 1))]));
    table.end(end(run(0, 1, 1), RunOutcome::Done), NOW_UNIX_MS);
    assert!(table.begin(&[start(run(1, 0, 1))]));
}

#[test]
fn gang_atomic() {
    let mut table = table(vec![step(2, true, &[])]);
    let members = [start(run(0, 0, 1)), start(run(0, 1, 1))];
    let wrong_number = [start(run(0, 0, 1)), start(run(0, 1, 2))];
    assert!(!table.begin(&wrong_number), "a gang began with different run numbers");
    assert!(table.open_runs().is_empty());
    assert!(table.begin(&members));
    // Both members fail in the same run, which counts as one attempt.
    table.end(end(run(0, 0, 1), RunOutcome::Failed), NOW_UNIX_MS);
    table.end(end(run(0, 1, 1), RunOutcome::Failed), NOW_UNIX_MS);
    assert_eq!(phase(&table), JobPhase::Running);
    assert!(table.begin(&[start(run(0, 0, 2)), start(run(0, 1, 2))]));
    table.end(end(run(0, 0, 2), RunOutcome::Done), NOW_UNIX_MS);
    assert_eq!(
        phase(&table),
        JobPhase::Completed,
        "one completed member did not complete the gang"
    );
}

#[test]
fn only_failures_counted() {
    let mut table = table(vec![step(1, false, &[])]);
    let outcomes = [
        RunOutcome::Failed,
        RunOutcome::Stopped,
        RunOutcome::Lapsed,
        RunOutcome::NeverBegan,
        RunOutcome::WorkerLost,
        RunOutcome::Broken,
    ];
    for (number, outcome) in (1..).zip(outcomes) {
        assert!(table.begin(&[start(run(0, 0, number))]));
        table.end(end(run(0, 0, number), outcome), NOW_UNIX_MS);
        assert_eq!(phase(&table), JobPhase::Running, "{outcome:?} counted as an attempt");
    }
    assert!(table.begin(&[start(run(0, 0, 7))]));
    table.end(end(run(0, 0, 7), RunOutcome::Failed), NOW_UNIX_MS);
    assert_eq!(phase(&table), JobPhase::Failed);
}

#[test]
fn cancellation_final() {
    let name = JobName::new("job").unwrap();
    let mut table = table(vec![step(2, false, &[])]);
    assert!(table.begin(&[start(run(0, 0, 1))]));
    assert_eq!(table.cancel(&name, NOW_UNIX_MS), CancelOutcome::Cancelled);
    assert!(!table.begin(&[start(run(0, 1, 1))]), "a cancelled job began a run");
    table.end(end(run(0, 0, 1), RunOutcome::Done), NOW_UNIX_MS);
    assert_eq!(phase(&table), JobPhase::Cancelled);
    assert_eq!(table.cancel(&name, NOW_UNIX_MS), CancelOutcome::AlreadyEnded);
    assert_eq!(table.cancel(&JobName::new("x").unwrap(), NOW_UNIX_MS), CancelOutcome::NotFound);
}

#[test]
fn latest_checkpoint_kept() {
    let checkpointing = StepSpec { checkpointing: true, ..step(1, false, &[]) };
    let mut table = table(vec![checkpointing]);
    let saved = |value: &str| Some(Arc::from(value));
    for (number, checkpoint) in [(1, saved("a")), (2, None), (3, saved("b"))] {
        assert!(table.begin(&[start(run(0, 0, number))]));
        let run = run(0, 0, number);
        table.end(RunEnd { run, outcome: RunOutcome::Stopped, checkpoint }, NOW_UNIX_MS);
        let job = table.jobs().next().unwrap();
        let latest = job.occurrences[&0].steps[0].checkpoint(&job.submission.spec.steps[0], 0);
        let expected = if number < 3 { "a" } else { "b" };
        assert_eq!(&*latest.unwrap().value, expected);
    }
}

#[test]
fn all_occurrences_required() {
    let schedule = Schedule {
        first_at_unix_ms: NOW_UNIX_MS,
        period_ms: DurationMs::new(100),
        occurrence_count: 2,
    };
    let mut table = JobTable::default();
    table.submit(submission(vec![step(1, false, &[])], Some(schedule)));
    for occurrence in 0..2 {
        let mut run = run(0, 0, 1);
        run.task.occurrence = occurrence;
        assert!(table.begin(&[start(run.clone())]));
        assert_eq!(phase(&table), JobPhase::Running);
        table.end(end(run, RunOutcome::Done), NOW_UNIX_MS);
    }
    assert_eq!(phase(&table), JobPhase::Completed);
    let job = table.jobs().next().unwrap();
    assert_eq!(job.submission.spec.due_at_unix_ms(1), Some(NOW_UNIX_MS + 100));
}

#[test]
fn invalid_specs_refused() {
    let spec = |steps| JobSpec { payload: Arc::from(""), steps, schedule: None };
    assert_eq!(spec(vec![]).validate(), Err(JobSpecError::Empty));
    assert_eq!(spec(vec![step(0, false, &[])]).validate(), Err(JobSpecError::Empty));
    let cyclic = spec(vec![step(1, false, &[0])]);
    assert_eq!(cyclic.validate(), Err(JobSpecError::ForwardDependency { step: 0, after: 0 }));
    let oversized = spec(vec![step(u32::MAX, false, &[])]);
    assert!(matches!(oversized.validate(), Err(JobSpecError::TooManyTasks { .. })));
}

#[test]
fn waiting_until_begun() {
    let queue = QueueName::new("queue").unwrap();
    let in_queue = |submission: &JobSubmission| submission.queue == queue;
    let mut table = table(vec![step(1, false, &[])]);
    assert_eq!(table.waiting_count(in_queue), 1);
    table.begin(&[start(run(0, 0, 1))]);
    assert_eq!(table.waiting_count(in_queue), 0);
    table.end(end(run(0, 0, 1), RunOutcome::NeverBegan), NOW_UNIX_MS);
    assert_eq!(
        table.waiting_count(in_queue),
        1,
        "a job whose run never began no longer counts as waiting"
    );
}
