//! State of a job and of its attempt.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

use crate::check::JobRefusal;
use crate::message::{StopReason, TaskOutcome};
use crate::spec::JobSpec;

/// Replicated state of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// Specification as submitted.
    pub spec: Arc<JobSpec>,
    /// Time at which the job was accepted.
    pub submitted_at: TimestampMs,
    /// Fencing epoch of the last attempt; zero when there was none.
    pub last_epoch: FencingEpoch,
    /// Current phase in the lifecycle of the job.
    pub phase: JobPhase,
    /// Number of attempts that were started; a job with 0 may still have run, see
    /// `ran_before_start`.
    pub started_count: u32,
    /// `true` if a worker reported work on an attempt that was not started.
    #[serde(rename = "ran_unasked")]
    pub ran_before_start: bool,
    /// `true` if the job did work that no checkpoint contains, so that another start repeats it.
    pub unsaved: bool,
    /// Epoch of the attempt whose checkpoint the next attempt resumes.
    pub checkpoint: Option<FencingEpoch>,
    /// Run time whose progress the checkpoint contains.
    pub saved_run_time_ms: u64,
    /// Healthy workers on which the job failed, with their quarantine count at that time.
    pub failed_on: Vec<(WorkerName, u32)>,
    /// Number of attempts that failed.
    pub failure_count: u32,
    /// Time at which the job reached its final phase; absent before that.
    pub finished_at: Option<TimestampMs>,
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobPhase {
    /// No attempt holds capacity.
    Waiting,
    /// An attempt holds or waits for capacity.
    Active(Box<Attempt>),
    /// Every task succeeded.
    Succeeded,
    /// An attempt failed and the job may not run again.
    Failed(StopReason),
    /// The job was refused permanently.
    Refused(JobRefusal),
    /// The caller cancelled the job.
    Cancelled,
    /// An attempt ran with an outcome that cannot be determined, and the job may not run again.
    Unknown(StopReason),
}

/// Placement of a job on its workers, with the state of each task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Fencing epoch, which numbers the attempts of a job.
    pub epoch: FencingEpoch,
    /// Tasks of the gang, by index.
    pub tasks: Vec<TaskSlot>,
    /// Current phase in the lifecycle of the attempt.
    pub phase: AttemptPhase,
    /// Guarantee and index of the instance that the attempt claims, if any.
    pub claim: Option<(RecordName, u32)>,
    /// `true` if the attempt holds its capacity firmly, outside any claim, because the job cannot
    /// be reclaimed.
    pub firm: bool,
    /// Time at which the attempt was placed.
    pub began_at: TimestampMs,
    /// Time at which the gang was started; absent before that.
    pub started_at: Option<TimestampMs>,
    /// Time at which the leader stops the attempt if the phase has not changed.
    pub deadline: Option<TimestampMs>,
}

impl Attempt {
    /// Returns `true` if the capacity of the attempt is borrowed and can be reclaimed.
    pub fn is_borrower(&self) -> bool {
        self.claim.is_none() && !self.firm
    }
}

/// Phase of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// Part of the capacity is still held by borrowers that are being evicted.
    Reclaiming,
    /// The workers are requested to prepare their tasks.
    Preparing,
    /// The workers are requested to run their tasks.
    Running,
    /// The workers are requested to checkpoint and end their tasks.
    Checkpointing(StopReason),
    /// The workers are requested to stop their tasks.
    Stopping(StopReason),
}

/// Placement and state of one task of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskSlot {
    /// Index of the worker that the task is placed on.
    pub worker: WorkerIndex,
    /// Accelerators assigned to the task, one bit each; 0 while the task is booked or has ended.
    pub accelerator_mask: u64,
    /// Current state of the task.
    pub state: TaskState,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskState {
    /// The task waits until borrowers release the capacity.
    Booked,
    /// The task holds its capacity; the worker has not confirmed the preparation.
    Assigned,
    /// The worker has confirmed the preparation.
    Prepared,
    /// The task has ended and released its capacity.
    Ended(TaskOutcome),
}

impl TaskState {
    /// Returns `true` if the task has ended and released its capacity.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

impl JobEntry {
    pub(crate) fn new(spec: JobSpec, at: TimestampMs) -> Self {
        Self {
            spec: Arc::new(spec),
            submitted_at: at,
            last_epoch: FencingEpoch::default(),
            phase: JobPhase::Waiting,
            started_count: 0,
            ran_before_start: false,
            unsaved: false,
            checkpoint: None,
            saved_run_time_ms: 0,
            failed_on: Vec::new(),
            failure_count: 0,
            finished_at: None,
        }
    }

    /// Returns the current attempt, if there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            JobPhase::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns `true` if no part of the job has run.
    pub fn has_never_run(&self) -> bool {
        self.started_count == 0 && !self.ran_before_start
    }

    /// Returns `true` if another attempt may start: the job is idempotent or has no unsaved work.
    pub fn may_restart(&self) -> bool {
        self.spec.idempotent || !self.unsaved
    }
}
