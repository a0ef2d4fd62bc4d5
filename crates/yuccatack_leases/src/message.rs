//! Commands of the replicated log and the events that they cause.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::check::{GuaranteeRefusal, JobRefusal};
use crate::spec::{GuaranteeSpec, JobSpec, PolicySpec, QuotaSpec};

/// A change of the lease table. `at` is the time of the leader that proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// Accepts or replaces a guarantee.
    SetGuarantee(GuaranteeSpec),
    /// Withdraws a guarantee; a job that claims it keeps running.
    RemoveGuarantee(RecordName),
    /// Sets the limits of an organisation.
    SetQuota(QuotaSpec),
    /// Removes the limits of an organisation.
    RemoveQuota(OrganisationName),
    /// Sets the scheduling policy.
    SetPolicy(PolicySpec),
    /// Accepts a job.
    SubmitJob {
        /// The job.
        job: JobSpec,
        /// When the leader accepted it.
        at: TimestampMs,
    },
    /// Cancels jobs in one step; names that are not known or are finished are skipped.
    CancelJobs {
        /// The jobs.
        jobs: Vec<JobName>,
        /// When the leader accepted the cancellation.
        at: TimestampMs,
    },
    /// Adds a worker. A known worker is replaced only after its loss, because a delayed heartbeat of
    /// an old incarnation must not end the tasks of the present one.
    RegisterWorker {
        /// The worker and what it offers.
        worker: WorkerRegistration,
        /// When its heartbeat arrived.
        at: TimestampMs,
    },
    /// Releases everything on a worker whose lease and margin have ended.
    LoseWorker {
        /// The worker.
        worker: WorkerName,
        /// The registration that was silent. A later one is not affected, so a command that the
        /// log delivers twice or late never takes a live worker's tasks.
        registration_number: u64,
        /// When the margin had ended.
        at: TimestampMs,
    },
    /// Lets a quarantined worker serve again although no job could probe it.
    ReleaseOnProbation {
        /// The worker.
        worker: WorkerName,
        /// When the leader decided it.
        at: TimestampMs,
    },
    /// Places a gang. Refused as a whole when any part of it no longer fits.
    BeginAttempt(BeginAttempt),
    /// Records that workers hold prepared tasks.
    ConfirmPrepared {
        /// The job.
        job: JobName,
        /// Its attempt.
        epoch: FencingEpoch,
        /// The prepared tasks.
        indexes: Vec<u32>,
        /// When the last confirmation arrived.
        at: TimestampMs,
    },
    /// Starts a gang of which every task is prepared. From here on the job may have run.
    StartAttempt {
        /// The job.
        job: JobName,
        /// Its attempt.
        epoch: FencingEpoch,
        /// When the leader decided it.
        at: TimestampMs,
    },
    /// Takes an attempt off its workers, by checkpoint where possible, to run it elsewhere.
    MoveAttempt {
        /// The job.
        job: JobName,
        /// Its attempt.
        epoch: FencingEpoch,
        /// When the leader decided it.
        at: TimestampMs,
    },
    /// Stops all tasks of an attempt.
    StopAttempt {
        /// The job.
        job: JobName,
        /// Its attempt.
        epoch: FencingEpoch,
        /// Why.
        reason: StopReason,
        /// When the leader decided it.
        at: TimestampMs,
    },
    /// Records the confirmed end of a task and releases its capacity.
    EndTask {
        /// The job.
        job: JobName,
        /// Its attempt.
        epoch: FencingEpoch,
        /// The task.
        index: u32,
        /// How it ended.
        outcome: TaskOutcome,
        /// When the report arrived.
        at: TimestampMs,
    },
}

/// A worker and what it offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRegistration {
    /// The worker.
    pub worker: WorkerName,
    /// The run of the worker process.
    pub incarnation: Incarnation,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// Its rack within the data centre.
    pub rack: RackName,
    /// Everything it has.
    pub resources: Resources,
}

/// The decision to place a gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeginAttempt {
    /// The job.
    pub job: JobName,
    /// The attempt; must be the job's next epoch.
    pub epoch: FencingEpoch,
    /// The workers in task order, with how many tasks each runs.
    pub assignments: Vec<WorkerTasks>,
    /// The guaranteed shape that the job claims.
    pub claim: Option<Claim>,
    /// When the leader decided it.
    pub at: TimestampMs,
}

/// Some consecutive tasks of a gang on one worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerTasks {
    /// The worker.
    pub worker: WorkerName,
    /// How many tasks it runs.
    pub task_count: u32,
}

/// The use of one guaranteed shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The guarantee.
    pub guarantee: RecordName,
    /// Which of its shapes, from 0.
    pub instance: u32,
    /// Where the shape is bound from now on; empty leaves it where it is.
    pub binding: Vec<WorkerTasks>,
}

/// Why an attempt is stopped.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StopReason {
    /// The caller cancelled the job.
    Cancelled,
    /// A guarantee needs the capacity.
    Reclaimed,
    /// A larger job needs the place and this one can go on elsewhere.
    Moved,
    /// A checkpoint was not confirmed in time.
    CheckpointOverdue,
    /// Not every worker confirmed the preparation in time.
    PrepareOverdue,
    /// A task failed on this worker.
    TaskFailed(WorkerName),
    /// A task ended on this worker without success and without being told to.
    TaskLost(WorkerName),
    /// This worker no longer reports a task that it held.
    TaskMissing(WorkerName),
    /// This worker reported work before the gang was started.
    RanUnasked(WorkerName),
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// It did its work.
    Succeeded,
    /// It ended with an error.
    Failed,
    /// It saved its progress and ended.
    Checkpointed,
    /// It was stopped.
    Stopped,
    /// Its worker is gone and its lease has ended.
    Lost,
}

/// What a command changed, for logs, metrics and callers that wait.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseEvent {
    /// A job waits to run.
    JobAccepted(JobName),
    /// A job was refused at submission.
    JobRefused(JobName, JobRefusal),
    /// A guarantee is in force.
    GuaranteeAccepted(RecordName),
    /// A guarantee was refused.
    GuaranteeRefused(RecordName, GuaranteeRefusal),
    /// Lost capacity leaves guaranteed shapes without a place.
    GuaranteeUnbacked(RecordName),
    /// An attempt was placed.
    AttemptBegan(JobName, FencingEpoch),
    /// A placement was out of date and changed nothing.
    AttemptRefused(JobName, FencingEpoch),
    /// All workers were told to start.
    AttemptStarted(JobName, FencingEpoch),
    /// An attempt is being taken off its workers.
    AttemptStopping(JobName, FencingEpoch, StopReason),
    /// An attempt has released everything.
    AttemptReleased(JobName, FencingEpoch),
    /// A job waits again.
    JobRequeued(JobName),
    /// A job reached its final status.
    JobFinished(JobName),
    /// A worker joined or came back.
    WorkerRegistered(WorkerName),
    /// A worker's lease ended.
    WorkerLost(WorkerName),
    /// A worker fails every job and gets no more work for now.
    WorkerQuarantined(WorkerName),
    /// A quarantined worker ran a job successfully.
    WorkerRestored(WorkerName),
}
