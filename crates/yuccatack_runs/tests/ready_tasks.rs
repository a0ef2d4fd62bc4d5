//! Guards against tasks that never begin, or begin too early, since the index of ready tasks differs
//! from the progress of the job.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccatack_core::{DurationMs, JobName, NodeName, QueueName, ServiceName, WorkerName};
use yuccatack_runs::{
    Job, JobSpec, JobSubmission, JobTable, ReadyTasks, ReadyWork, RunEnd, RunId, RunOutcome,
    RunStart, Schedule, StepPosition, StepSpec, TaskId, WorkerIncarnation,
};

const SEED_COUNT: u64 = 60;
const CHANGE_COUNT: usize = 120;
const PERIOD_MS: u64 = 10;

fn name() -> JobName {
    JobName::new("job").unwrap()
}

fn submission(steps: Vec<StepSpec>, occurrence_count: u32) -> JobSubmission {
    let schedule = (occurrence_count > 1).then_some(Schedule {
        first_at_unix_ms: 0,
        period_ms: DurationMs::new(PERIOD_MS),
        occurrence_count,
    });
    JobSubmission {
        name: name(),
        queue: QueueName::new("queue").unwrap(),
        service: ServiceName::new("pool").unwrap(),
        organisation: None,
        priority: 1,
        max_attempts: 4,
        stretch: 1.0,
        allowance_ms: DurationMs::ZERO,
        accepted_at_unix_ms: 0,
        origin: None,
        spec: JobSpec { payload: Arc::from("payload"), steps, schedule },
    }
}

/// Returns steps with gangs, and with dependencies of which some are named twice.
fn random_steps(random: &mut StdRng) -> Vec<StepSpec> {
    let step_count = random.random_range(1..6u32);
    let step = |step: u32| {
        let after_count = if step == 0 { 0 } else { random.random_range(0..3) };
        StepSpec {
            task_count: random.random_range(1..5),
            gang: random.random_bool(0.3),
            long_running: random.random_bool(0.05),
            after: (0..after_count).map(|_| random.random_range(0..step)).collect(),
            ..StepSpec::default()
        }
    };
    (0..step_count).map(step).collect()
}

fn run_start(run: RunId) -> RunStart {
    let node = NodeName::new("node").unwrap();
    let worker = WorkerName::new("worker").unwrap();
    RunStart { run, incarnation: WorkerIncarnation { node, worker, started_at_unix_ms: 5 } }
}

/// Returns the runs of each group that the index offers.
fn offered_groups(job: &Job, unix_ms: u64) -> Vec<Vec<RunId>> {
    let work = ReadyWork::new(job, unix_ms, u32::MAX);
    let mut groups = Vec::new();
    let mut next = work.next_step(StepPosition::default());
    while let Some(position) = next {
        let StepPosition { occurrence, step } = position;
        let spec = job.step_spec(step).unwrap();
        let run = |index: u32| {
            let progress = job.occurrences.get(&occurrence);
            let number =
                progress.map_or(1, |progress| progress.steps[step as usize].next_run(spec, index));
            RunId { task: TaskId { job: name(), occurrence, step, index }, number }
        };
        let earlier_count = groups.len() as u64;
        match work.tasks(position) {
            ReadyTasks::Gang => groups.push((0..spec.task_count).map(run).collect()),
            ReadyTasks::Single(tasks) => groups.extend(tasks.map(|index| vec![run(index)])),
        }
        assert_eq!(groups.len() as u64 - earlier_count, work.step_group_count(position));
        next = work.next_step(StepPosition { step: step + 1, ..position });
    }
    assert_eq!(groups.len() as u64, work.group_count());
    groups
}

/// Returns the runs of each group that may begin, found by visiting all tasks.
fn expected_groups(job: &Job, unix_ms: u64) -> Vec<Vec<RunId>> {
    let spec = &job.submission.spec;
    let mut groups = Vec::new();
    for occurrence in 0..spec.occurrence_count() {
        let is_due = spec.due_at_unix_ms(occurrence).is_none_or(|due| due <= unix_ms);
        if !is_due || job.completed_occurrences.contains(occurrence) {
            continue;
        }
        let progress = job.occurrences.get(&occurrence);
        for (step, step_spec) in (0u32..).zip(&spec.steps) {
            let run = |index, number| RunId {
                task: TaskId { job: name(), occurrence, step, index },
                number,
            };
            let indexes = 0..step_spec.task_count;
            let Some(progress) = progress else {
                if !step_spec.after.is_empty() {
                    continue;
                }
                match step_spec.gang {
                    true => groups.push(indexes.map(|index| run(index, 1)).collect()),
                    false => groups.extend(indexes.map(|index| vec![run(index, 1)])),
                }
                continue;
            };
            let step_progress = &progress.steps[step as usize];
            if !progress.is_ready(step_spec) || step_progress.is_done() {
                continue;
            }
            let next = |index| run(index, step_progress.next_run(step_spec, index));
            if step_spec.gang && !step_progress.has_open_run() {
                groups.push(indexes.map(next).collect());
            } else if !step_spec.gang {
                let is_free = |index: &u32| {
                    let task = &step_progress.tasks[*index as usize];
                    !task.done && task.open_count == 0
                };
                groups.extend(indexes.filter(is_free).map(|index| vec![next(index)]));
            }
        }
    }
    groups
}

/// Begins an offered group, ends an open run or completes a task late.
fn change(table: &mut JobTable, unix_ms: u64, random: &mut StdRng) {
    let job = table.job(&name()).unwrap();
    let groups = if job.phase.is_final() { Vec::new() } else { offered_groups(job, unix_ms) };
    let open: Vec<RunId> = table.open_runs().keys().cloned().collect();
    if !groups.is_empty() && (open.is_empty() || random.random_bool(0.5)) {
        let group = &groups[random.random_range(0..groups.len())];
        let starts: Vec<RunStart> = group.iter().cloned().map(run_start).collect();
        assert!(table.begin(&starts), "{group:?} was offered and may not begin");
    } else if !open.is_empty() {
        let run = open[random.random_range(0..open.len())].clone();
        let outcomes = [RunOutcome::Done, RunOutcome::Done, RunOutcome::Lapsed, RunOutcome::Failed];
        let outcome = outcomes[random.random_range(0..outcomes.len())];
        table.end(RunEnd { run: run.clone(), outcome, checkpoint: None }, unix_ms);
        if random.random_bool(0.2) {
            table.complete_late(&run, unix_ms);
        }
    }
}

fn play(seed: u64, occurrence_count: u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut table = JobTable::default();
    table.submit(submission(random_steps(&mut random), occurrence_count));
    for number in 0..CHANGE_COUNT {
        let unix_ms = number as u64;
        change(&mut table, unix_ms, &mut random);
        let job = table.job(&name()).unwrap();
        let mut offered = offered_groups(job, unix_ms);
        offered.sort();
        let mut expected = expected_groups(job, unix_ms);
        expected.sort();
        assert_eq!(offered, expected, "seed {seed}, change {number}");
        let encoded = serde_json::to_string(&table).unwrap();
        let decoded: JobTable = serde_json::from_str(&encoded).unwrap();
        assert!(
            decoded == table,
            "seed {seed}, change {number}: a snapshot restores another index"
        );
    }
}

#[test]
fn index_follows_progress() {
    (0..SEED_COUNT).for_each(|seed| play(seed, 1));
}

#[test]
fn index_follows_schedule() {
    (0..SEED_COUNT).for_each(|seed| play(seed, 8));
}

#[test]
fn unfinished_occurrences_bounded() {
    let mut table = JobTable::default();
    let steps = vec![StepSpec { task_count: 5_000, ..StepSpec::default() }];
    table.submit(submission(steps, 100));
    let job = table.job(&name()).unwrap();
    let unix_ms = 100 * PERIOD_MS;
    assert_eq!(ReadyWork::new(job, unix_ms, u32::MAX).unbegun_count(), 4, "20,000 tasks at once");
    assert_eq!(ReadyWork::new(job, unix_ms, 0).unbegun_count(), 1, "one may always begin");
}
