//! Names under which jobs are stored.
//!
//! Callers choose the names of their jobs independently of each other, so several organisations may
//! choose the same one. A job belongs to the queue and the organisation of its submission, and the
//! queue is identified by the address that callers use. The first job of a name is stored under it,
//! and any other one under a derived name, so that each has tasks of its own on the workers.

use std::sync::Arc;

use yuccatack_core::{JobName, QueueName};
use yuccatack_queues::{Access, Queue};
use yuccatack_runs::{Job, JobOrigin, JobSubmission};

use crate::state::QueueState;

/// Number of derived names under which a job may be stored.
const DERIVED_NAME_COUNT: u32 = 15;

/// Number of bytes of a derived name, which is written as twice as many hexadecimal digits.
const DERIVED_NAME_BYTES: usize = 8;

/// Returns the job that a call addresses by `name`.
pub(crate) fn find_job<'a>(
    state: &'a QueueState,
    access: &Access<'_>,
    name: &JobName,
) -> Option<&'a Job> {
    // Records of earlier versions lack the name that the caller chose.
    let without_called_name = stored_names(&access.queue.name, name)
        .filter_map(|stored| state.jobs.job(&stored))
        .filter(|job| called_name(&job.submission).is_none());
    state
        .jobs
        .jobs_called(name)
        .chain(without_called_name)
        .filter(|job| is_of_queue(&job.submission, access.queue))
        .filter(|job| has_access(access, &job.submission))
        .min_by_key(|job| job.submission.organisation.as_ref() != access.organisation)
}

/// Returns `true` if the job was submitted to `queue`, whatever the queue was called then.
pub(crate) fn is_of_queue(submission: &JobSubmission, queue: &Queue) -> bool {
    match &submission.origin {
        Some(origin) => origin.host == queue.host && origin.path_prefix == queue.path_prefix,
        None => submission.queue == queue.name,
    }
}

/// Returns the origin of a job that is submitted to `queue` under `name`.
pub(crate) fn job_origin(queue: &Queue, name: Option<JobName>) -> JobOrigin {
    JobOrigin { host: Arc::clone(&queue.host), path_prefix: Arc::clone(&queue.path_prefix), name }
}

/// Returns a name under which a new job can be stored; `None` if all of them are taken.
pub(crate) fn free_name(state: &QueueState, queue: &QueueName, name: &JobName) -> Option<JobName> {
    stored_names(queue, name).find(|stored| state.jobs.job(stored).is_none())
}

/// Returns `true` if the job that is stored under the name of `submission` is the submitted one.
pub(crate) fn is_stored(state: &QueueState, submission: &JobSubmission) -> bool {
    let stored = state.jobs.job(&submission.name);
    stored.is_some_and(|job| is_same_job(state, &job.submission, submission))
}

/// Returns `true` if both submissions are of one job: one caller's name in one queue.
pub(crate) fn is_same_job(
    state: &QueueState,
    first: &JobSubmission,
    second: &JobSubmission,
) -> bool {
    let same_origin = match (&first.origin, &second.origin) {
        (Some(first), Some(second)) => {
            let same_queue = first.host == second.host && first.path_prefix == second.path_prefix;
            let same_name = match (&first.name, &second.name) {
                (Some(first), Some(second)) => first == second,
                _ => true,
            };
            same_queue && same_name
        }
        _ => first.queue == second.queue,
    };
    let is_public = || {
        let mut queues = state.configuration.queues();
        queues.any(|queue| queue.public && is_of_queue(second, queue))
    };
    same_origin && (first.organisation == second.organisation || is_public())
}

/// Returns `true` if the caller may read and cancel the job. Calls to public queues need no key.
fn has_access(access: &Access<'_>, submission: &JobSubmission) -> bool {
    access.queue.public
        || submission.organisation.is_none()
        || submission.organisation.as_ref() == access.organisation
}

fn called_name(submission: &JobSubmission) -> Option<&JobName> {
    submission.origin.as_ref()?.name.as_ref()
}

/// Iterates over the names under which a job of a queue may be stored, in order of preference.
fn stored_names(queue: &QueueName, name: &JobName) -> impl Iterator<Item = JobName> {
    let derived = (0..DERIVED_NAME_COUNT).filter_map(|number| derived_name(queue, name, number));
    std::iter::once(name.clone()).chain(derived)
}

/// Derives a name in the platform's format of job names. Stored jobs are found by it, so it must
/// stay the same in all versions.
fn derived_name(queue: &QueueName, name: &JobName, number: u32) -> Option<JobName> {
    let hash = blake3::hash(format!("{queue}/{name}/{number}").as_bytes());
    let digits: String =
        hash.as_bytes()[..DERIVED_NAME_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
    JobName::new(&digits).ok()
}
