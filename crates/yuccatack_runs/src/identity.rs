//! Identifiers of tasks, runs and incarnations of workers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::{JobName, NodeName, WorkerName};

/// Identifier of a task within one occurrence of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskId {
    /// Name of the job.
    pub job: JobName,
    /// Index of the occurrence, counted from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step within the job, counted from 0.
    pub step: u32,
    /// Index of the task within the step, counted from 0.
    pub index: u32,
}

/// Error for a text that is not a task identifier.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("`{text}` is not a task identifier; use JOB.OCCURRENCE.STEP.INDEX"))]
pub struct ParseTaskIdError {
    /// Text that could not be parsed.
    pub text: String,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { job, occurrence, step, index } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseTaskIdError { text: text.to_owned() };
        let mut parts = text.split('.');
        let job = JobName::new(parts.next().ok_or_else(error)?).map_err(|_| error())?;
        let mut number =
            || parts.next().and_then(|part| part.parse::<u32>().ok()).ok_or_else(error);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(Self { job, occurrence, step, index })
    }
}

/// Identifier of a run, that is one execution of a task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RunId {
    /// Task that the run executes.
    pub task: TaskId,
    /// Number of the run within its task, counted from 1. All members of a gang share the number.
    pub number: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.number)
    }
}

/// Incarnation of a worker, from one start of its process to the next. Runs do not survive it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Node whose agent represents the worker; the same for all incarnations.
    pub node: NodeName,
    /// Name of the worker, which may stay the same after a restart.
    pub worker: WorkerName,
    /// Unix time of the process start by the worker's clock, unique per incarnation of one name.
    pub started_at_unix_ms: u64,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.worker, self.started_at_unix_ms)
    }
}
