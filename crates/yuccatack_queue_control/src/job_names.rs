//! Names under which jobs are stored.
//!
//! Callers choose the names of their jobs independently of each other, so several organisations may
//! choose the same one. A job belongs to the queue and the organisation of its submission. The first
//! job of a name is stored under it, and any other one under a derived name, so that each has tasks
//! of its own on the workers. The derived names follow from queue and name alone, so that no replica
//! has to store them.

use yuccatack_core::{JobName, QueueName};
use yuccatack_queues::Access;
use yuccatack_runs::{Job, JobSubmission};

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
    let owned = || {
        stored_names(&access.queue.name, name)
            .filter_map(|stored| state.jobs.job(&stored))
            .filter(|job| has_access(access, &job.submission))
    };
    // The queue of the submission may have been renamed since.
    let is_orphan = |job: &&Job| state.configuration.queue(&job.submission.queue).is_none();
    owned()
        .find(|job| job.submission.queue == access.queue.name)
        .or_else(|| owned().find(is_orphan))
}

/// Returns a name under which a new job can be stored; `None` if all of them are taken.
pub(crate) fn free_name(state: &QueueState, queue: &QueueName, name: &JobName) -> Option<JobName> {
    stored_names(queue, name).find(|stored| state.jobs.job(stored).is_none())
}

/// Returns `true` if the job that is stored under the name of `submission` is the submitted one.
pub(crate) fn is_stored(state: &QueueState, submission: &JobSubmission) -> bool {
    let is_public = state.configuration.queue(&submission.queue).is_some_and(|queue| queue.public);
    state.jobs.job(&submission.name).is_some_and(|job| {
        job.submission.queue == submission.queue
            && (is_public || job.submission.organisation == submission.organisation)
    })
}

/// Returns `true` if the caller may read and cancel the job. Calls to public queues need no key.
fn has_access(access: &Access<'_>, submission: &JobSubmission) -> bool {
    access.queue.public
        || submission.organisation.is_none()
        || submission.organisation.as_ref() == access.organisation
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
