//! What a caller submits.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::{DurationMs, Resources};

/// The most tasks of all steps of one job; bounds the memory that one call can take.
const TASK_COUNT_LIMIT: u64 = 20_000;

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What the workers are told to run; opaque to the scheduler.
    pub payload: Arc<str>,
    /// The steps; each names only earlier ones as its predecessors.
    pub steps: Vec<StepSpec>,
    /// When the steps run, for a job that runs them repeatedly.
    pub schedule: Option<Schedule>,
}

/// Times at which a job runs its steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, by the time of day.
    pub first_at_unix_ms: u64,
    /// The time from one occurrence to the next.
    pub period_ms: DurationMs,
    /// How many occurrences there are.
    pub occurrence_count: u32,
}

/// One step: equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks.
    pub task_count: u32,
    /// What each task needs.
    pub demand: Resources,
    /// A rough estimate of how long a task runs.
    pub estimated_run_ms: DurationMs,
    /// The earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save their progress and can resume from it.
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// The label of the rack that holds the data; tasks slow down elsewhere.
    pub data_rack: Option<Arc<str>>,
    /// How many tasks of the step may run on one worker.
    pub tasks_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// The bound of the tail latency of tasks that serve users.
    pub latency_target_ms: Option<DurationMs>,
    /// Whether the tasks use only the processor time that others leave.
    #[serde(rename = "fills")]
    pub uses_idle_cpu: bool,
    /// How many tasks of a long-running step planned work may take away at once.
    #[serde(rename = "unavailable_limit")]
    pub max_unavailable_count: Option<u32>,
}

impl fmt::Display for JobSpec {
    /// A short form for logs: the steps, separated by commas.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            if number > 0 {
                formatter.write_str(", ")?;
            }
            step.fmt(formatter)?;
        }
        Ok(())
    }
}

impl fmt::Display for StepSpec {
    /// A short form for logs: tasks, what one needs, its estimated length, and what it demands.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} x {} accelerators {} cores_milli {} ms",
            self.task_count,
            self.demand.accelerator_count,
            self.demand.cores_milli,
            self.estimated_run_ms.get(),
        )?;
        let marks = [
            (self.gang, " gang"),
            (self.rack_local, " rack_local"),
            (self.checkpointing, " checkpointing"),
            (self.required_label.is_some(), " label"),
            (self.data_rack.is_some(), " data_rack"),
            (self.tasks_per_worker.is_some(), " spread"),
            (self.speculative, " speculative"),
            (self.long_running, " long_running"),
            (self.uses_idle_cpu, " fills"),
        ];
        marks.iter().filter(|(set, _)| *set).try_for_each(|(_, mark)| formatter.write_str(mark))
    }
}

/// Why a job is refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum JobSpecError {
    /// There is nothing to run.
    #[snafu(display("the job has no tasks; add a step with at least one task"))]
    Empty,
    /// Too much for one job.
    #[snafu(display("the job has {count} tasks, more than {TASK_COUNT_LIMIT}; split it"))]
    TooManyTasks {
        /// How many it has.
        count: u64,
    },
    /// A step waits for itself or a later one.
    #[snafu(display("step {step} waits for step {after}; name only earlier steps"))]
    WrongOrder {
        /// The step.
        step: u32,
        /// What it waits for.
        after: u32,
    },
}

impl JobSpec {
    /// Finds the first reason to refuse the job.
    pub fn validate(&self) -> Result<(), JobSpecError> {
        let count: u64 = self.steps.iter().map(|step| u64::from(step.task_count)).sum();
        if count == 0 || self.steps.iter().any(|step| step.task_count == 0) {
            return Err(JobSpecError::Empty);
        }
        if count > TASK_COUNT_LIMIT {
            return Err(JobSpecError::TooManyTasks { count });
        }
        for (step, spec) in (0u32..).zip(&self.steps) {
            if let Some(after) = spec.after.iter().find(|after| **after >= step) {
                return Err(JobSpecError::WrongOrder { step, after: *after });
            }
        }
        Ok(())
    }

    /// How many times the steps run.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrence_count)
    }

    /// When an occurrence is due by the time of day; nothing for a job that is not scheduled.
    pub fn due_at_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let offset_ms = schedule.period_ms.get().saturating_mul(u64::from(occurrence));
        Some(schedule.first_at_unix_ms.saturating_add(offset_ms))
    }

    /// The estimated length of the longest chain of steps.
    pub fn longest_chain_ms(&self) -> DurationMs {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let previous = step.after.iter().filter_map(|after| ends_ms.get(*after as usize));
            let begins_ms = previous.copied().max().unwrap_or(0);
            ends_ms.push(begins_ms + step.estimated_run_ms.get());
        }
        DurationMs::new(ends_ms.into_iter().max().unwrap_or(0))
    }
}
