//! JSON types of the worker protocol.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::heartbeat::{
    CommandKind, HeartbeatReply, HeartbeatReport, ReportedState, ReportedTask, TaskReference,
    WorkerCommand,
};
use crate::message::WorkerRegistration;

/// The body of `POST /v1/workers/{worker}/heartbeat`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatBody {
    /// The run of the worker process.
    pub incarnation: Incarnation,
    /// Where the worker is.
    pub data_centre: DataCentreName,
    /// Its rack within the data centre.
    pub rack: RackName,
    /// Everything it has.
    pub resources: Resources,
    /// Grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Its tasks.
    pub tasks: Vec<TaskBody>,
}

/// A task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskBody {
    /// The job.
    pub job: JobName,
    /// The attempt.
    pub epoch: FencingEpoch,
    /// The task.
    pub index: u32,
    /// How far it is.
    pub state: TaskStateBody,
    /// What it uses.
    #[serde(default)]
    pub usage: Resources,
}

/// How far a task is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStateBody {
    /// Ready to run.
    Prepared,
    /// Runs.
    Running,
    /// Saved its progress and ended.
    Checkpointed,
    /// Was stopped.
    Stopped,
    /// Did its work.
    Succeeded,
    /// Ended with an error.
    Failed,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReplyBody {
    /// The sequence of the heartbeat.
    pub sequence: u64,
    /// How long tasks may run from when the heartbeat was sent; 0 grants nothing.
    pub lease_ms: u64,
    /// What to do.
    pub commands: Vec<CommandBody>,
    /// Ended tasks that need not be reported again.
    pub acknowledged: Vec<ReferenceBody>,
}

/// One task of one attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReferenceBody {
    /// The job.
    pub job: JobName,
    /// The attempt.
    pub epoch: FencingEpoch,
    /// The task.
    pub index: u32,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBody {
    /// The job.
    pub job: JobName,
    /// The attempt.
    pub epoch: FencingEpoch,
    /// The task.
    pub index: u32,
    /// What to do.
    #[serde(flatten)]
    pub kind: CommandKindBody,
}

/// What a worker is told to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum CommandKindBody {
    /// Hold the capacity and get ready.
    Prepare {
        /// The accelerators to use, by number.
        accelerators: Vec<u32>,
        /// The amounts of the task.
        resources: Resources,
        /// The number of tasks of the gang.
        task_count: u32,
        /// The command line.
        command_line: Vec<String>,
        /// The attempt whose checkpoint to continue.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        resume_epoch: Option<FencingEpoch>,
    },
    /// Run.
    Start,
    /// Save the progress and end.
    Checkpoint,
    /// Limit the processor time.
    Throttle {
        /// Thousandths of the processor time.
        limit_milli: u32,
    },
    /// End at once.
    Stop,
}

/// A heartbeat that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum HeartbeatError {
    /// The path names no valid worker.
    #[snafu(display("{source}; correct the worker name in the path"))]
    Worker {
        /// What is wrong with it.
        source: yuccatack_core::InvalidNameError,
    },
    /// More accelerators than the protocol numbers.
    #[snafu(display(
        "worker `{worker}` reports {count} accelerators; report at most 64 for one worker"
    ))]
    TooManyAccelerators {
        /// The worker.
        worker: WorkerName,
        /// What it reports.
        count: u32,
    },
}

impl HeartbeatBody {
    /// The report of the worker that the path names.
    pub fn into_report(self, worker: &str) -> Result<HeartbeatReport, HeartbeatError> {
        let worker = WorkerName::new(worker).map_err(|source| HeartbeatError::Worker { source })?;
        let count = self.resources.accelerator_count;
        if count > u64::BITS {
            return Err(HeartbeatError::TooManyAccelerators { worker, count });
        }
        let registration = WorkerRegistration {
            worker,
            incarnation: self.incarnation,
            data_centre: self.data_centre,
            rack: self.rack,
            resources: self.resources,
        };
        let tasks = self.tasks.into_iter().map(ReportedTask::from).collect();
        Ok(HeartbeatReport { registration, sequence: self.sequence, tasks })
    }
}

impl From<HeartbeatReport> for HeartbeatBody {
    fn from(report: HeartbeatReport) -> Self {
        Self {
            incarnation: report.registration.incarnation,
            data_centre: report.registration.data_centre,
            rack: report.registration.rack,
            resources: report.registration.resources,
            sequence: report.sequence,
            tasks: report.tasks.into_iter().map(TaskBody::from).collect(),
        }
    }
}

impl From<TaskBody> for ReportedTask {
    fn from(body: TaskBody) -> Self {
        let task = TaskReference { job: body.job, epoch: body.epoch, index: body.index };
        Self { task, state: body.state.into(), usage: body.usage }
    }
}

impl From<ReportedTask> for TaskBody {
    fn from(reported: ReportedTask) -> Self {
        let TaskReference { job, epoch, index } = reported.task;
        Self { job, epoch, index, state: reported.state.into(), usage: reported.usage }
    }
}

impl From<TaskStateBody> for ReportedState {
    fn from(body: TaskStateBody) -> Self {
        match body {
            TaskStateBody::Prepared => Self::Prepared,
            TaskStateBody::Running => Self::Running,
            TaskStateBody::Checkpointed => Self::Checkpointed,
            TaskStateBody::Stopped => Self::Stopped,
            TaskStateBody::Succeeded => Self::Succeeded,
            TaskStateBody::Failed => Self::Failed,
        }
    }
}

impl From<ReportedState> for TaskStateBody {
    fn from(state: ReportedState) -> Self {
        match state {
            ReportedState::Prepared => Self::Prepared,
            ReportedState::Running => Self::Running,
            ReportedState::Checkpointed => Self::Checkpointed,
            ReportedState::Stopped => Self::Stopped,
            ReportedState::Succeeded => Self::Succeeded,
            ReportedState::Failed => Self::Failed,
        }
    }
}

impl From<TaskReference> for ReferenceBody {
    fn from(task: TaskReference) -> Self {
        Self { job: task.job, epoch: task.epoch, index: task.index }
    }
}

impl From<ReferenceBody> for TaskReference {
    fn from(body: ReferenceBody) -> Self {
        Self { job: body.job, epoch: body.epoch, index: body.index }
    }
}

impl From<WorkerCommand> for CommandBody {
    fn from(command: WorkerCommand) -> Self {
        let TaskReference { job, epoch, index } = command.task;
        let kind = match command.kind {
            CommandKind::Prepare { accelerators, resources, task_count, command, resume_epoch } => {
                CommandKindBody::Prepare {
                    accelerators,
                    resources,
                    task_count,
                    command_line: command,
                    resume_epoch,
                }
            }
            CommandKind::Start => CommandKindBody::Start,
            CommandKind::Checkpoint => CommandKindBody::Checkpoint,
            CommandKind::Throttle { limit_milli } => CommandKindBody::Throttle { limit_milli },
            CommandKind::Stop => CommandKindBody::Stop,
        };
        Self { job, epoch, index, kind }
    }
}

impl From<HeartbeatReply> for HeartbeatReplyBody {
    fn from(reply: HeartbeatReply) -> Self {
        Self {
            sequence: reply.sequence,
            lease_ms: reply.lease.map_or(0, DurationMs::get),
            commands: reply.commands.into_iter().map(CommandBody::from).collect(),
            acknowledged: reply.acknowledged.into_iter().map(ReferenceBody::from).collect(),
        }
    }
}

impl From<HeartbeatReplyBody> for HeartbeatReply {
    fn from(body: HeartbeatReplyBody) -> Self {
        Self {
            sequence: body.sequence,
            lease: (body.lease_ms > 0).then(|| DurationMs::new(body.lease_ms)),
            commands: body.commands.into_iter().map(WorkerCommand::from).collect(),
            acknowledged: body.acknowledged.into_iter().map(TaskReference::from).collect(),
        }
    }
}

impl From<CommandBody> for WorkerCommand {
    fn from(body: CommandBody) -> Self {
        let task = TaskReference { job: body.job, epoch: body.epoch, index: body.index };
        let kind = match body.kind {
            CommandKindBody::Prepare {
                accelerators,
                resources,
                task_count,
                command_line,
                resume_epoch,
            } => CommandKind::Prepare {
                accelerators,
                resources,
                task_count,
                command: command_line,
                resume_epoch,
            },
            CommandKindBody::Start => CommandKind::Start,
            CommandKindBody::Checkpoint => CommandKind::Checkpoint,
            CommandKindBody::Throttle { limit_milli } => CommandKind::Throttle { limit_milli },
            CommandKindBody::Stop => CommandKind::Stop,
        };
        Self { task, kind }
    }
}
