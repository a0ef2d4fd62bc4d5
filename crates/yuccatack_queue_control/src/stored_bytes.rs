//! Estimate of the bytes that stored jobs take in a snapshot, and their limit.
//!
//! A bound on the number of jobs alone lets large jobs fill the disk of every replica.

use std::sync::Arc;

use yuccatack_core::FastHashSet;
use yuccatack_dispatch::TableChange;
use yuccatack_runs::{Job, JobSubmission, JobTable, StepSpec};

use crate::command::Command;

/// Part of the disk that stored jobs may take. A new snapshot is written beside the old one and the
/// log, so that they take twice this part for a while.
const STORED_DISK_PART: u64 = 4;

/// Fixed-size fields of a job. Snapshots contain the names of all fields.
const JOB_BYTES: u64 = 368;

/// Fixed-size fields of a step.
const STEP_BYTES: u64 = 384;

/// Returns the number of bytes that stored jobs may take on a disk of this size.
pub fn stored_limit_bytes(disk_capacity_bytes: u64) -> u64 {
    disk_capacity_bytes / STORED_DISK_PART
}

/// Returns the estimated bytes of a job that is to be stored, including the progress of its first
/// occurrence.
pub fn submission_bytes(submission: &JobSubmission) -> u64 {
    stored_bytes(submission, 1)
}

/// Returns the estimated bytes of a stored job.
pub fn job_bytes(job: &Job) -> u64 {
    stored_bytes(&job.submission, job.occurrences.len().max(1))
}

/// Returns the estimated bytes of the occurrences that a command begins beside the first unfinished
/// one of each job.
pub(crate) fn begun_occurrence_bytes(command: &Command, jobs: &JobTable) -> u64 {
    let Command::Change { changes, .. } = command else { return 0 };
    let (mut begun_jobs, mut begun) = (FastHashSet::default(), FastHashSet::default());
    let mut begun_bytes = 0u64;
    for change in changes {
        let TableChange::Begin(group) = change else { continue };
        let Some(task) = group.first().map(|start| &start.run.task) else { continue };
        let Some(job) = jobs.job(&task.job) else { continue };
        if job.has_begun(task.occurrence) || !begun.insert((job.order, task.occurrence)) {
            continue;
        }
        let is_first = job.occurrences.is_empty() && begun_jobs.insert(job.order);
        if !is_first {
            begun_bytes = begun_bytes.saturating_add(job.progress_bytes());
        }
    }
    begun_bytes
}

fn stored_bytes(submission: &JobSubmission, occurrence_count: usize) -> u64 {
    let steps = &submission.spec.steps;
    let organisation = submission.organisation.as_ref();
    let origin = submission.origin.as_ref();
    let called = origin.and_then(|origin| origin.name.as_ref());
    let texts = [
        submission.name.as_str(),
        submission.queue.as_str(),
        submission.service.as_str(),
        organisation.map_or("", |organisation| organisation.as_str()),
        origin.map_or("", |origin| &origin.host),
        origin.map_or("", |origin| &origin.path_prefix),
        called.map_or("", |called| called.as_str()),
        &submission.spec.payload,
    ];
    let text_bytes = texts.iter().map(|text| text.len() as u64).sum::<u64>();
    let step_bytes = steps.iter().map(step_bytes).sum::<u64>();
    let progress_bytes = submission.spec.progress_bytes() * occurrence_count as u64;
    JOB_BYTES + text_bytes + step_bytes + progress_bytes
}

fn step_bytes(step: &StepSpec) -> u64 {
    let labels = [&step.required_label, &step.data_rack, &step.image];
    let label_bytes = labels.into_iter().flatten().map(|label: &Arc<str>| label.len() as u64);
    STEP_BYTES + 5 * step.after.len() as u64 + label_bytes.sum::<u64>()
}
