//! The state of a job and of its attempt.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

use crate::check::JobRefusal;
use crate::message::{StopReason, TaskOutcome};
use crate::spec::JobSpec;

/// A job with everything that is known about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// When it was accepted.
    pub submitted_at: TimestampMs,
    /// The epoch of the last attempt; zero when there was none.
    pub last_epoch: FencingEpoch,
    /// Where the job stands.
    pub phase: JobPhase,
    /// How many attempts were started; 0 means that no part of the job ran.
    pub started_count: u32,
    /// Whether a worker reported work on an attempt that was not started.
    pub ran_unasked: bool,
    /// Whether work was done that no checkpoint holds, so that another start would repeat it.
    pub unsaved: bool,
    /// The attempt whose checkpoint the next attempt continues.
    pub checkpoint: Option<FencingEpoch>,
    /// Run time that the checkpoint saves.
    pub saved_run_time_ms: u64,
    /// The healthy workers it failed on, with their quarantine count at that time.
    pub failed_on: Vec<(WorkerName, u32)>,
    /// How many attempts failed.
    pub failure_count: u32,
    /// When it reached its final status.
    pub finished_at: Option<TimestampMs>,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobPhase {
    /// No attempt holds anything.
    Waiting,
    /// An attempt holds or waits for capacity.
    Active(Box<Attempt>),
    /// Every task succeeded.
    Succeeded,
    /// The only allowed attempt failed.
    Failed(StopReason),
    /// Refused for good.
    Refused(JobRefusal),
    /// Cancelled by its caller.
    Cancelled,
    /// An attempt started and its outcome cannot be known.
    Unknown(StopReason),
}

/// One try to run a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Its number.
    pub epoch: FencingEpoch,
    /// Its tasks by index.
    pub tasks: Vec<TaskSlot>,
    /// How far it is.
    pub phase: AttemptPhase,
    /// The guarantee and instance that it claims.
    pub claim: Option<(RecordName, u32)>,
    /// Whether its capacity counts as firm, because the job cannot be reclaimed.
    pub firm: bool,
    /// When it was placed.
    pub began_at: TimestampMs,
    /// When all workers were told to start.
    pub started_at: Option<TimestampMs>,
    /// When the leader must act if the phase has not changed.
    pub deadline: Option<TimestampMs>,
}

impl Attempt {
    /// Whether borrowed capacity can be taken back from it.
    pub fn is_borrower(&self) -> bool {
        self.claim.is_none() && !self.firm
    }
}

/// How far an attempt is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// Some of its capacity is still held by borrowers that give it up.
    Reclaiming,
    /// Its workers are told to prepare.
    Preparing,
    /// Its workers are told to run.
    Running,
    /// Its workers are told to checkpoint and end.
    Checkpointing(StopReason),
    /// Its workers are told to stop.
    Stopping(StopReason),
}

/// One task of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskSlot {
    /// Where it runs.
    pub worker: WorkerIndex,
    /// One bit for each accelerator it uses.
    pub accelerator_mask: u64,
    /// How far it is.
    pub state: TaskState,
}

/// How far a task is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for a borrower to give up the capacity.
    Booked,
    /// Holds the capacity; its worker has not confirmed the preparation.
    Assigned,
    /// Its worker has confirmed the preparation.
    Prepared,
    /// Holds nothing any more.
    Ended(TaskOutcome),
}

impl TaskState {
    /// Whether the task holds nothing any more.
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
            ran_unasked: false,
            unsaved: false,
            checkpoint: None,
            saved_run_time_ms: 0,
            failed_on: Vec::new(),
            failure_count: 0,
            finished_at: None,
        }
    }

    /// The attempt, if there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            JobPhase::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether no part of the job has run.
    pub fn has_never_run(&self) -> bool {
        self.started_count == 0 && !self.ran_unasked
    }

    /// Whether another attempt may be started.
    pub fn may_start_again(&self) -> bool {
        self.spec.idempotent || !self.unsaved
    }
}
