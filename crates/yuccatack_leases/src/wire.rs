//! JSON messages of the worker protocol.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::heartbeat::{
    CommandKind, HeartbeatReply, HeartbeatReport, ReportedState, ReportedTask, TaskReference,
    WorkerCommand,
};
use crate::message::WorkerRegistration;

/// Request body of `POST /v1/workers/{worker}/heartbeat`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatBody {
    /// Incarnation of the worker process; changes with each start.
    pub incarnation: Incarnation,
    /// Data centre that the worker is in.
    pub data_centre: DataCentreName,
    /// Rack of the worker within the data centre.
    pub rack: RackName,
    /// Total resources of the worker.
    pub resources: Resources,
    /// Sequence number that grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Every task that the worker holds, and every ended task that was not acknowledged yet.
    pub tasks: Vec<TaskBody>,
}

/// Task as listed in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskBody {
    /// Name of the job.
    pub job: JobName,
    /// Fencing epoch of the attempt.
    pub epoch: FencingEpoch,
    /// Index of the task within its gang, from 0.
    pub index: u32,
    /// State when the heartbeat was sent.
    pub state: TaskStateBody,
    /// Measured resource usage; zero when absent.
    #[serde(default)]
    pub usage: Resources,
}

/// State of a task as reported by its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStateBody {
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

/// Response body of a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReplyBody {
    /// Sequence number of the heartbeat that is answered.
    pub sequence: u64,
    /// Time for which tasks may run, counted from the sending of the heartbeat; 0 grants no lease.
    pub lease_ms: u64,
    /// Commands to carry out, repeated until the worker reports the result.
    pub commands: Vec<CommandBody>,
    /// Ended tasks that the worker need not report again.
    pub acknowledged: Vec<ReferenceBody>,
}

/// Identifies one task of one attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReferenceBody {
    /// Name of the job.
    pub job: JobName,
    /// Fencing epoch of the attempt.
    pub epoch: FencingEpoch,
    /// Index of the task within its gang, from 0.
    pub index: u32,
}

/// Command to a worker about one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBody {
    /// Name of the job.
    pub job: JobName,
    /// Fencing epoch of the attempt.
    pub epoch: FencingEpoch,
    /// Index of the task within its gang, from 0.
    pub index: u32,
    /// Requested action with its arguments.
    #[serde(flatten)]
    pub kind: CommandKindBody,
}

/// Action that a worker is requested to take on a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum CommandKindBody {
    /// Reserve the capacity and prepare the task.
    Prepare {
        /// Numbers of the accelerators to use.
        accelerators: Vec<u32>,
        /// Resources that the task may use.
        resources: Resources,
        /// Number of tasks in the gang.
        task_count: u32,
        /// Command line to execute.
        command_line: Vec<String>,
        /// Epoch of the attempt whose checkpoint is resumed; absent for a start from the beginning.
        #[serde(default, skip_serializing_if = "Option::is_none")]
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

/// Heartbeat that is rejected before it reaches the scheduler.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum HeartbeatError {
    /// The path does not contain a valid worker name.
    #[snafu(display("{source}; correct the worker name in the path"))]
    Worker {
        /// Violated rule for names.
        source: yuccatack_core::InvalidNameError,
    },
    /// The worker reports more accelerators than the 64 that an accelerator mask can represent.
    #[snafu(display(
        "worker `{worker}` reports {count} accelerators; report at most 64 for one worker"
    ))]
    TooManyAccelerators {
        /// Name of the worker.
        worker: WorkerName,
        /// Number of accelerators reported.
        count: u32,
    },
}

impl HeartbeatBody {
    /// Validates the body and combines it with the worker name from the path.
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
