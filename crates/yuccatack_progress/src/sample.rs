//! Input of the model: observations of the progress of runs.

use yuccatack_core::{JobName, NodeName};

/// Runs that are compared with each other: those of one step in one occurrence of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupId {
    /// Name of the job.
    pub job: JobName,
    /// Index of the occurrence of the job.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u32,
}

/// Run within its comparison group.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunKey {
    /// Group of the run.
    pub group: GroupId,
    /// Index of the task within the step.
    pub task_index: u32,
    /// Number of the run of the task, which differs between repeated runs.
    pub number: u32,
}

/// Progress of a run, as a worker reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressSample {
    /// Run that progresses.
    pub run: RunKey,
    /// Node of the worker's agent, which names the machine.
    pub machine: NodeName,
    /// Completed share of the run, in percent.
    pub percent: u8,
    /// Time of the observation by the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// `true` for a member of a gang. The members do equal work, each at the speed of its machine.
    pub gang: bool,
    /// `true` unless the run is slow for a reason other than its machine, such as distant data.
    pub comparable: bool,
}
