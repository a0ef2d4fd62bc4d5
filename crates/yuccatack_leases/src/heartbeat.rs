//! Messages between workers and the leader, independent of their encoding.

use yuccatack_core::prelude::*;

use crate::message::WorkerRegistration;

/// Identifies one task of one attempt.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskReference {
    /// Name of the job.
    pub job: JobName,
    /// Fencing epoch of the attempt.
    pub epoch: FencingEpoch,
    /// Index of the task within its gang, from 0.
    pub index: u32,
}

/// State of a task as reported by its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// The capacity is held and the task can be started.
    Prepared,
    /// The task has been started and has not ended.
    Running,
    /// The task saved its progress and ended.
    Checkpointed,
    /// The task ended on command or because the lease expired.
    Stopped,
    /// The task completed its work.
    Succeeded,
    /// The task ended with an error.
    Failed,
}

/// Task as listed in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedTask {
    /// Attempt and index of the task.
    pub task: TaskReference,
    /// State when the heartbeat was sent.
    pub state: ReportedState,
    /// Resource usage, as measured some time before the heartbeat.
    pub usage: Resources,
}

/// Heartbeat of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReport {
    /// Name, location and resources of the worker.
    pub registration: WorkerRegistration,
    /// Sequence number that grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Every task that the worker holds, and every ended task that was not acknowledged yet.
    pub tasks: Vec<ReportedTask>,
}

/// Action that a worker is requested to take on a task.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandKind {
    /// Reserve the capacity and prepare the task.
    Prepare {
        /// Numbers of the accelerators to use.
        accelerators: Vec<u32>,
        /// Resources that the task may use.
        resources: Resources,
        /// Number of tasks in the gang.
        task_count: u32,
        /// Command line to execute.
        command: Vec<String>,
        /// Epoch of the attempt whose checkpoint is resumed; absent for a start from the beginning.
        resume_epoch: Option<FencingEpoch>,
    },
    /// Start the prepared task.
    Start,
    /// Save the progress and end the task.
    Checkpoint,
    /// Limit the processor time of the task.
    Throttle {
        /// Limit in thousandths of the processor time.
        limit_milli: u32,
    },
    /// End the task at once; also sent for a task that the worker does not report.
    Stop,
}

/// Command to a worker about one task.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCommand {
    /// Task that the command applies to.
    pub task: TaskReference,
    /// Requested action.
    pub kind: CommandKind,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReply {
    /// Sequence number of the heartbeat that is answered.
    pub sequence: u64,
    /// Time for which tasks may run, counted from the sending of the heartbeat; `None` grants no
    /// lease.
    pub lease: Option<DurationMs>,
    /// Commands to carry out; each is repeated in every reply until the worker reports the result.
    pub commands: Vec<WorkerCommand>,
    /// Ended tasks that the worker need not report again.
    pub acknowledged: Vec<TaskReference>,
}
