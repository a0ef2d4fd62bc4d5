//! Commands of the replicated log and the events that they produce.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::check::{GuaranteeRefusal, JobRefusal};
use crate::spec::{GuaranteeSpec, JobSpec, PolicySpec, QuotaSpec};

/// Change of the lease table. `at` is the clock of the leader that proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// Accepts or replaces a guarantee.
    SetGuarantee(GuaranteeSpec),
    /// Withdraws a guarantee; a job that claims it keeps running.
    RemoveGuarantee(RecordName),
    /// Sets the quota and fair-share weight of an organisation.
    SetQuota(QuotaSpec),
    /// Removes the quota and fair-share weight of an organisation.
    RemoveQuota(OrganisationName),
    /// Sets the scheduling policy.
    SetPolicy(PolicySpec),
    /// Adds a job to the queue of its organisation.
    SubmitJob {
        /// Specification of the submitted job.
        job: JobSpec,
        /// Time at which the leader received the submission.
        at: TimestampMs,
    },
    /// Cancels jobs in one command; unknown names and finished jobs are skipped.
    CancelJobs {
        /// Names of the jobs to cancel.
        jobs: Vec<JobName>,
        /// Time at which the leader received the cancellation.
        at: TimestampMs,
    },
    /// Registers a worker. A registered worker is replaced only after its loss, because a delayed
    /// heartbeat of an old incarnation must not end the tasks of the current one.
    RegisterWorker {
        /// Name, location and resources of the worker.
        worker: WorkerRegistration,
        /// Time at which the heartbeat of the worker arrived.
        at: TimestampMs,
    },
    /// Marks a worker as lost and releases its capacity, once its lease and the clock margin have
    /// ended.
    LoseWorker {
        /// Name of the lost worker.
        worker: WorkerName,
        /// Registration whose lease expired. A later one is not affected, so a command that the log
        /// delivers twice or late never ends the tasks of a live worker.
        registration_number: u64,
        /// Time at which the leader found the margin expired.
        at: TimestampMs,
    },
    /// Returns a quarantined worker to service without a probe, because no waiting job is suitable
    /// as one.
    ReleaseOnProbation {
        /// Name of the quarantined worker.
        worker: WorkerName,
        /// Time of the leader's decision.
        at: TimestampMs,
    },
    /// Places a gang. Refused as a whole when any of its tasks no longer fits.
    BeginAttempt(BeginAttempt),
    /// Records that workers hold prepared tasks.
    ConfirmPrepared {
        /// Name of the job.
        job: JobName,
        /// Fencing epoch of the attempt.
        epoch: FencingEpoch,
        /// Indexes of the prepared tasks.
        indexes: Vec<u32>,
        /// Time at which the last confirmation arrived.
        at: TimestampMs,
    },
    /// Starts a gang of which every task is prepared. Afterwards the job counts as possibly run.
    StartAttempt {
        /// Name of the job.
        job: JobName,
        /// Fencing epoch of the attempt.
        epoch: FencingEpoch,
        /// Time of the leader's decision.
        at: TimestampMs,
    },
    /// Evicts an attempt from its workers, by checkpoint where possible, to run it elsewhere.
    MoveAttempt {
        /// Name of the job.
        job: JobName,
        /// Fencing epoch of the attempt.
        epoch: FencingEpoch,
        /// Time of the leader's decision.
        at: TimestampMs,
    },
    /// Stops all tasks of an attempt.
    StopAttempt {
        /// Name of the job.
        job: JobName,
        /// Fencing epoch of the attempt.
        epoch: FencingEpoch,
        /// Recorded reason of the stop.
        reason: StopReason,
        /// Time of the leader's decision.
        at: TimestampMs,
    },
    /// Records the confirmed end of a task and releases its capacity.
    EndTask {
        /// Name of the job.
        job: JobName,
        /// Fencing epoch of the attempt.
        epoch: FencingEpoch,
        /// Index of the task within its gang, from 0.
        index: u32,
        /// Outcome that the worker reported.
        outcome: TaskOutcome,
        /// Time at which the report arrived.
        at: TimestampMs,
    },
}

/// Registration data of a worker, as sent with each heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRegistration {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Incarnation of the worker process; changes with each start.
    pub incarnation: Incarnation,
    /// Data centre that the worker is in.
    pub data_centre: DataCentreName,
    /// Rack of the worker within the data centre.
    pub rack: RackName,
    /// Total resources of the worker.
    pub resources: Resources,
}

/// Decision to place a gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeginAttempt {
    /// Name of the job.
    pub job: JobName,
    /// Fencing epoch of the attempt; must be the next epoch of the job.
    pub epoch: FencingEpoch,
    /// Workers in task order, with the number of tasks that each runs.
    pub assignments: Vec<WorkerTasks>,
    /// Guaranteed shape that the job claims; absent when it borrows or holds free capacity.
    pub claim: Option<Claim>,
    /// Time of the leader's decision.
    pub at: TimestampMs,
}

/// Consecutive tasks of a gang on one worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerTasks {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Number of tasks on this worker.
    pub task_count: u32,
}

/// Claim of one guaranteed shape by a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the guarantee.
    pub guarantee: RecordName,
    /// Index of the shape within the guarantee, from 0.
    pub instance: u32,
    /// New binding of the shape; empty keeps the current one.
    pub binding: Vec<WorkerTasks>,
}

/// Reason for which an attempt is stopped.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StopReason {
    /// The caller cancelled the job.
    Cancelled,
    /// A guarantee needs the capacity.
    Reclaimed,
    /// The job is moved to other workers, to make capacity usable for larger jobs.
    Moved,
    /// A checkpoint was not confirmed in time.
    CheckpointOverdue,
    /// Not every worker confirmed the preparation in time.
    PrepareOverdue,
    /// A task failed on this worker.
    TaskFailed(WorkerName),
    /// A task ended on this worker without success and without a command.
    TaskLost(WorkerName),
    /// This worker no longer reports a task that it held.
    TaskMissing(WorkerName),
    /// This worker reported work before the gang was started.
    RanUnasked(WorkerName),
}

/// Outcome of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The task completed its work.
    Succeeded,
    /// The task ended with an error.
    Failed,
    /// The task saved its progress and ended.
    Checkpointed,
    /// The task was stopped before it completed its work.
    Stopped,
    /// The lease of the worker has ended without a report of the task.
    Lost,
}

/// Effect of a command, for logs, metrics and waiting callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseEvent {
    /// A job was accepted and waits to run.
    JobAccepted(JobName),
    /// A job was refused at submission.
    JobRefused(JobName, JobRefusal),
    /// A guarantee is in force.
    GuaranteeAccepted(RecordName),
    /// A guarantee was refused.
    GuaranteeRefused(RecordName, GuaranteeRefusal),
    /// A shape of a guarantee has no binding, because capacity was lost.
    GuaranteeUnbacked(RecordName),
    /// An attempt was placed on its workers.
    AttemptBegan(JobName, FencingEpoch),
    /// A placement was outdated and had no effect.
    AttemptRefused(JobName, FencingEpoch),
    /// All tasks are prepared and the attempt was started.
    AttemptStarted(JobName, FencingEpoch),
    /// An attempt is being evicted from its workers or stopped.
    AttemptStopping(JobName, FencingEpoch, StopReason),
    /// An attempt has released all of its capacity.
    AttemptReleased(JobName, FencingEpoch),
    /// A job was put back into the queue.
    JobRequeued(JobName),
    /// A job reached its final status.
    JobFinished(JobName),
    /// A worker was registered for the first time or after its loss.
    WorkerRegistered(WorkerName),
    /// The lease and clock margin of a worker ended.
    WorkerLost(WorkerName),
    /// A worker was quarantined after failures of different jobs with no success between them.
    WorkerQuarantined(WorkerName),
    /// A quarantined worker returned to service, after a success or on probation.
    WorkerRestored(WorkerName),
}
