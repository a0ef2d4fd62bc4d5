//! Estimate of the bytes that stored jobs take in a snapshot, and their limit.
//!
//! A bound on the number of jobs alone lets large jobs fill the disk of every replica.

use std::sync::Arc;

use yuccatack_runs::{Job, JobSubmission, StepSpec};

/// Part of the disk that stored jobs may take. A new snapshot is written beside the old one and the
/// log, so that they take twice this part for a while.
const STORED_DISK_PART: u64 = 4;

/// Fixed-size fields of a job. Snapshots contain the names of all fields.
const JOB_BYTES: u64 = 368;

/// Fixed-size fields of a step.
const STEP_BYTES: u64 = 384;

/// Progress of a step without its tasks.
const STEP_PROGRESS_BYTES: u64 = 96;

/// Progress of a task without its checkpoint.
const TASK_BYTES: u64 = 72;

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
    let task_count = steps.iter().map(|step| u64::from(step.task_count)).sum::<u64>();
    let progress_bytes = (task_count * TASK_BYTES + steps.len() as u64 * STEP_PROGRESS_BYTES)
        * occurrence_count as u64;
    JOB_BYTES + text_bytes + step_bytes + progress_bytes
}

fn step_bytes(step: &StepSpec) -> u64 {
    let labels = [&step.required_label, &step.data_rack, &step.image];
    let label_bytes = labels.into_iter().flatten().map(|label: &Arc<str>| label.len() as u64);
    STEP_BYTES + 5 * step.after.len() as u64 + label_bytes.sum::<u64>()
}
