//! Status of a job as reported to callers.

use yuccatack_core::prelude::*;

use crate::job::{AttemptPhase, JobEntry, JobPhase};
use crate::message::StopReason;
use crate::table::LeaseTable;

/// Status of a job as reported to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// No attempt holds capacity.
    Waiting,
    /// Workers are being freed or prepared; no task has been started.
    Preparing,
    /// The tasks have been started.
    Running,
    /// Every task succeeded.
    Succeeded,
    /// The job failed and may not run again.
    Failed,
    /// The job was refused permanently.
    Refused,
    /// The caller cancelled the job.
    Cancelled,
    /// The job ran at least partly with an outcome that cannot be determined, or no job of this
    /// name is stored.
    Unknown,
}

/// Reason for which a job waits.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitReason {
    /// The job would take its organisation above the quota.
    Quota {
        /// Accelerators that the organisation holds.
        held_count: u64,
        /// Accelerators that the organisation may hold.
        quota_count: u32,
    },
    /// Other jobs hold the capacity.
    Capacity {
        /// Free accelerators on the whole platform.
        free_count: u64,
        /// Accelerators that the job needs in one domain.
        needed_count: u64,
    },
    /// The job can be neither checkpointed nor run again, and the free capacity is reserved for
    /// guarantees.
    Guarantees,
}

/// Status of a job with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Name of the job.
    pub job: JobName,
    /// Status at the time of the query.
    pub status: JobStatus,
    /// `true` if it is certain that no part of the job ran.
    pub not_run: bool,
    /// Reason for which the job waits; absent in every other status.
    pub wait: Option<WaitReason>,
    /// Description of the status and its reason for an operator.
    pub text: String,
}

impl LeaseTable {
    /// Returns the status of a job with its reason.
    pub fn explain(&self, job: &JobName) -> Explanation {
        let Some(entry) = self.jobs.get(job) else {
            return Explanation {
                job: job.clone(),
                status: JobStatus::Unknown,
                not_run: false,
                wait: None,
                text: "the job is not known; it was never accepted or ended more than a day ago"
                    .to_owned(),
            };
        };
        let (status, text) = describe(entry);
        let wait = (status == JobStatus::Waiting).then(|| self.wait_reason(entry));
        let text = match &wait {
            None => text,
            Some(WaitReason::Quota { held_count, quota_count }) => {
                format!("{text}: the organisation holds {held_count} of {quota_count} accelerators")
            }
            Some(WaitReason::Capacity { free_count, needed_count }) => format!(
                "{text}: it needs {needed_count} accelerators with {:?} adjacency and {free_count} \
                 are free on the platform",
                entry.spec.shape.adjacency
            ),
            Some(WaitReason::Guarantees) => format!(
                "{text}: it can be neither checkpointed nor run again, and the free accelerators \
                 are set aside for guarantees"
            ),
        };
        Explanation { job: job.clone(), status, not_run: entry.has_never_run(), wait, text }
    }

    fn wait_reason(&self, entry: &JobEntry) -> WaitReason {
        let spec = &entry.spec;
        let needed_count = spec.accelerator_count();
        let organisation = self.organisations.get(&spec.organisation);
        let held_count = organisation.map_or(0, |entry| entry.held_accelerator_count);
        if let Some(quota_count) = self.quota_of(&spec.organisation)
            && held_count + needed_count > u64::from(quota_count)
        {
            return WaitReason::Quota { held_count, quota_count };
        }
        let free_count = self.cluster.free_accelerator_count();
        if !spec.is_reclaimable() && free_count >= needed_count && !self.guarantees.is_empty() {
            return WaitReason::Guarantees;
        }
        WaitReason::Capacity { free_count, needed_count }
    }
}

fn describe(entry: &JobEntry) -> (JobStatus, String) {
    match &entry.phase {
        JobPhase::Waiting => (JobStatus::Waiting, "the job waits".to_owned()),
        JobPhase::Active(attempt) if attempt.started_at.is_some() => {
            let text = match &attempt.phase {
                AttemptPhase::Stopping(reason) | AttemptPhase::Checkpointing(reason) => {
                    format!("the job is leaving its workers: {}", reason_text(reason))
                }
                _ => format!("attempt {} runs", attempt.epoch),
            };
            (JobStatus::Running, text)
        }
        JobPhase::Active(attempt) => {
            let text = match attempt.phase {
                AttemptPhase::Reclaiming => "borrowed capacity is being reclaimed for the job",
                AttemptPhase::Stopping(_) => "the preparation is being undone",
                _ => "the workers prepare the job",
            };
            (JobStatus::Preparing, text.to_owned())
        }
        JobPhase::Succeeded => (JobStatus::Succeeded, "every task succeeded".to_owned()),
        JobPhase::Failed(reason) => (JobStatus::Failed, reason_text(reason)),
        JobPhase::Refused(refusal) => (JobStatus::Refused, refusal.to_string()),
        JobPhase::Cancelled => (JobStatus::Cancelled, "the job was cancelled".to_owned()),
        JobPhase::Unknown(reason) => (
            JobStatus::Unknown,
            format!("the job ran at least partly and may not run again: {}", reason_text(reason)),
        ),
    }
}

fn reason_text(reason: &StopReason) -> String {
    match reason {
        StopReason::Cancelled => "it was cancelled".to_owned(),
        StopReason::Reclaimed => "a guarantee needed its capacity".to_owned(),
        StopReason::Moved => "it makes room for a larger job".to_owned(),
        StopReason::CheckpointOverdue => "its checkpoint was not confirmed in time".to_owned(),
        StopReason::PrepareOverdue => "a worker did not confirm the preparation".to_owned(),
        StopReason::TaskFailed(worker) => format!("a task failed on {worker}"),
        StopReason::TaskLost(worker) => format!("a task was lost on {worker}"),
        StopReason::TaskMissing(worker) => format!("{worker} no longer reports a task"),
        StopReason::RanUnasked(worker) => format!("{worker} reported work before the start"),
    }
}
