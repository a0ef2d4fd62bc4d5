//! Messages between workers and the leader, independent of their encoding.

use yuccatack_core::prelude::*;

use crate::message::WorkerRegistration;

/// One task of one attempt.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskReference {
    /// The job.
    pub job: JobName,
    /// The attempt.
    pub epoch: FencingEpoch,
    /// The task.
    pub index: u32,
}

/// What a worker says about a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// Ready to run.
    Prepared,
    /// Runs.
    Running,
    /// Saved its progress and ended.
    Checkpointed,
    /// Ended because it was told to or because the lease ended.
    Stopped,
    /// Did its work.
    Succeeded,
    /// Ended with an error.
    Failed,
}

/// A task in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedTask {
    /// Which task.
    pub task: TaskReference,
    /// How far it is.
    pub state: ReportedState,
    /// What it uses, as measured some time ago.
    pub usage: Resources,
}

/// A heartbeat of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReport {
    /// The worker and what it offers.
    pub registration: WorkerRegistration,
    /// Grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Every task that the worker holds or that has ended and was not acknowledged.
    pub tasks: Vec<ReportedTask>,
}

/// What a worker is told to do with a task.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandKind {
    /// Hold the capacity and get ready.
    Prepare {
        /// The accelerators to use, by number.
        accelerators: Vec<u32>,
        /// The amounts of the task.
        resources: Resources,
        /// The number of tasks of the gang.
        task_count: u32,
        /// The command line.
        command: Vec<String>,
        /// The attempt whose checkpoint to continue.
        resume_epoch: Option<FencingEpoch>,
    },
    /// Run.
    Start,
    /// Save the progress and end.
    Checkpoint,
    /// Use no more than this many thousandths of the processor time.
    Throttle {
        /// The limit.
        limit_milli: u32,
    },
    /// End at once, also when the task is not known.
    Stop,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCommand {
    /// Which task.
    pub task: TaskReference,
    /// What to do.
    pub kind: CommandKind,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatReply {
    /// The sequence of the heartbeat.
    pub sequence: u64,
    /// How long tasks may run, counted from when the heartbeat was sent; `None` grants nothing.
    pub lease: Option<DurationMs>,
    /// What to do. Sent again with each reply until the worker reports the result.
    pub commands: Vec<WorkerCommand>,
    /// Ended tasks that need not be reported again.
    pub acknowledged: Vec<TaskReference>,
}
