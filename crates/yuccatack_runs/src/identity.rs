//! What identifies tasks, runs and the incarnations of workers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::{JobName, NodeName, WorkerName};

/// One task of one occurrence of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// The occurrence, counted from 0; always 0 for a job that is not scheduled.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u32,
    /// The task within the step, counted from 0.
    pub index: u32,
}

/// A text that names no task.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("`{text}` names no task; use JOB.OCCURRENCE.STEP.INDEX"))]
pub struct ParseTaskIdError {
    /// The text.
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

/// One run of a task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Numbers the task's runs from 1; the members of a gang share the number.
    pub number: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.number)
    }
}

/// One incarnation of a worker's process; what ran in an earlier incarnation is gone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The node whose agent speaks for the worker; stays the same over all incarnations.
    pub node: NodeName,
    /// The worker's name, which it may keep over a restart.
    pub worker: WorkerName,
    /// When this incarnation began by the worker's time of day, which tells incarnations of one name apart.
    pub started_at_unix_ms: u64,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.worker, self.started_at_unix_ms)
    }
}
