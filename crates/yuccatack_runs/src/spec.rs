//! Specification of a job, as its caller submits it.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::{DurationMs, Resources};

/// Maximum number of tasks over all steps of a job. It bounds the memory that one call can take.
pub(crate) const MAX_TASK_COUNT: u64 = 20_000;

/// Maximum number of tasks over all occurrences of a job. Callers that mistake the unit of a period or
/// a count would otherwise occupy the workers for years.
const MAX_SCHEDULED_TASK_COUNT: u64 = 1_000_000;

/// Number of steps that the short form of a specification shows.
const SHOWN_STEP_COUNT: usize = 8;

/// Encoded bytes of the progress of a step without its tasks.
const STEP_PROGRESS_BYTES: u64 = 96;

/// Encoded bytes of the progress of a task without its checkpoint.
const TASK_PROGRESS_BYTES: u64 = 72;

/// Specification of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Document that workers get with each task; opaque to the scheduler.
    pub payload: Arc<str>,
    /// Steps of the job; the predecessors of each step come before it.
    pub steps: Vec<StepSpec>,
    /// Times at which the steps run; `None` runs them once, as soon as possible.
    pub schedule: Option<Schedule>,
}

/// Schedule by which a job repeats its steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Unix time at which the first occurrence is due.
    pub first_at_unix_ms: u64,
    /// Interval between the due times of two occurrences.
    pub period_ms: DurationMs,
    /// Total number of occurrences.
    pub occurrence_count: u32,
}

/// Step of a job, consisting of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks; at least 1 in a valid job.
    pub task_count: u32,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Rough estimate of the run time of a task.
    pub estimated_run_ms: DurationMs,
    /// Indexes of the earlier steps that must complete first.
    pub after: Vec<u32>,
    /// `true` if the tasks save checkpoints and can resume from them.
    pub checkpointing: bool,
    /// `true` if the tasks form a gang, which only makes progress while all of them run.
    pub gang: bool,
    /// `true` if the tasks run slower when they are spread over several racks.
    pub rack_local: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<Arc<str>>,
    /// Label of the rack that holds the input data; the tasks run slower on other racks.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; `None` for no limit.
    pub tasks_per_worker: Option<u32>,
    /// `true` if several copies of a task may run at the same time.
    pub speculative: bool,
    /// `true` if the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Upper bound on the tail latency, for tasks that serve users.
    pub latency_target_ms: Option<DurationMs>,
    /// `true` if the tasks only use CPU time that others leave idle, so that they occupy no cores.
    #[serde(rename = "fills")]
    pub uses_idle_cpu: bool,
    /// Number of tasks of a long-running step that planned maintenance may make unavailable at
    /// once; `None` if the job does not say.
    #[serde(rename = "unavailable_limit")]
    pub max_unavailable_count: Option<u32>,
}

impl fmt::Display for JobSpec {
    /// Writes a short form for logs: the first steps, separated by commas, and the number of others.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().take(SHOWN_STEP_COUNT).enumerate() {
            if number > 0 {
                formatter.write_str(", ")?;
            }
            step.fmt(formatter)?;
        }
        match self.steps.len().saturating_sub(SHOWN_STEP_COUNT) {
            0 => Ok(()),
            hidden_count => write!(formatter, ", and {hidden_count} more"),
        }
    }
}

impl fmt::Display for StepSpec {
    /// Writes a short form for logs: the number of tasks, the resources and estimated run time of
    /// each, and the properties that are set.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} x {} accelerators {} cores_milli {} ms",
            self.task_count,
            self.demand.accelerator_count,
            self.demand.cores_milli,
            self.estimated_run_ms.get(),
        )?;
        let flags = [
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
        flags.iter().filter(|(set, _)| *set).try_for_each(|(_, flag)| formatter.write_str(flag))
    }
}

/// Reason why a job is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum JobSpecError {
    /// The job has no steps, or a step has no tasks.
    #[snafu(display("the job has no tasks; add a step with at least one task"))]
    Empty,
    /// The number of tasks exceeds the limit.
    #[snafu(display("the job has {count} tasks, more than {MAX_TASK_COUNT}; split it"))]
    TooManyTasks {
        /// Number of tasks over all steps.
        count: u64,
    },
    /// The number of tasks over all occurrences exceeds the limit.
    #[snafu(display(
        "the schedule has {count} tasks over all occurrences, more than \
         {MAX_SCHEDULED_TASK_COUNT}; lower the number of occurrences"
    ))]
    TooManyOccurrences {
        /// Number of tasks over all steps and occurrences.
        count: u64,
    },
    /// A step depends on itself or on a later step.
    #[snafu(display("step {step} waits for step {after}; name only earlier steps"))]
    ForwardDependency {
        /// Index of the dependent step.
        step: u32,
        /// Index of the step that it depends on.
        after: u32,
    },
}

impl JobSpec {
    /// Checks the specification and returns the first problem found.
    pub fn validate(&self) -> Result<(), JobSpecError> {
        let count: u64 = self.steps.iter().map(|step| u64::from(step.task_count)).sum();
        if count == 0 || self.steps.iter().any(|step| step.task_count == 0) {
            return Err(JobSpecError::Empty);
        }
        if count > MAX_TASK_COUNT {
            return Err(JobSpecError::TooManyTasks { count });
        }
        let scheduled_count = count * u64::from(self.occurrence_count());
        if scheduled_count > MAX_SCHEDULED_TASK_COUNT {
            return Err(JobSpecError::TooManyOccurrences { count: scheduled_count });
        }
        for (step, spec) in (0u32..).zip(&self.steps) {
            if let Some(after) = spec.after.iter().find(|after| **after >= step) {
                return Err(JobSpecError::ForwardDependency { step, after: *after });
            }
        }
        Ok(())
    }

    /// Returns the number of times that the steps run; 1 without a schedule.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrence_count)
    }

    /// Returns the number of occurrences that are due; 1 without a schedule.
    pub fn due_count(&self, unix_ms: u64) -> u32 {
        let Some(schedule) = self.schedule else { return 1 };
        let Some(elapsed_ms) = unix_ms.checked_sub(schedule.first_at_unix_ms) else { return 0 };
        let later_count = elapsed_ms.checked_div(schedule.period_ms.get()).unwrap_or(u64::MAX);
        let due_count = u32::try_from(later_count.saturating_add(1)).unwrap_or(u32::MAX);
        due_count.min(schedule.occurrence_count)
    }

    /// Returns the estimated bytes of the progress of one occurrence in a snapshot.
    pub fn progress_bytes(&self) -> u64 {
        let step_bytes = |step: &StepSpec| {
            STEP_PROGRESS_BYTES + u64::from(step.task_count) * TASK_PROGRESS_BYTES
        };
        self.steps.iter().map(step_bytes).sum()
    }

    /// Returns the Unix time at which an occurrence is due; `None` for a job without a schedule.
    pub fn due_at_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let offset_ms = schedule.period_ms.get().saturating_mul(u64::from(occurrence));
        Some(schedule.first_at_unix_ms.saturating_add(offset_ms))
    }
}
