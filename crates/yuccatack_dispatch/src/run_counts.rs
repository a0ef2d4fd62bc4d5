//! Numbers of runs by job and organisation, and the part of a limit that each of them may take.
//!
//! Answers tasks that need next to nothing: no resource bounds their number, so that those of one job,
//! or of many jobs of one organisation, would take all runs of a worker for as long as they last.

use yuccatack_core::{FastHashMap, OrganisationName};
use yuccatack_runs::Job;

/// Returns the part of a limit that one job may take while there are no other runs.
pub(crate) const fn job_share(limit_count: u32) -> u32 {
    limit_count.div_ceil(2)
}

/// Returns the part of a limit that one organisation may take while there are no other runs.
const fn organisation_share(limit_count: u32) -> u32 {
    limit_count - limit_count / 4
}

/// Numbers of runs by job and organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunCounts {
    total_count: u32,
    /// By the order of the job.
    by_job: FastHashMap<u64, u32>,
    /// Runs without an organisation count as those of one.
    by_organisation: FastHashMap<Option<OrganisationName>, u32>,
}

impl RunCounts {
    /// Counts a run of the job.
    pub fn add(&mut self, job: &Job) {
        self.total_count += 1;
        *self.by_job.entry(job.order).or_default() += 1;
        *self.by_organisation.entry(job.submission.organisation.clone()).or_default() += 1;
    }

    /// Returns the number of further runs that the job may have. Of what others leave of the limit, a
    /// job takes half and an organisation three quarters, so that the next one finds some.
    pub fn allowance(&self, limit_count: u32, job: &Job) -> u32 {
        let of_job = self.by_job.get(&job.order).copied().unwrap_or(0);
        let organisation = &job.submission.organisation;
        let of_organisation = self.by_organisation.get(organisation).copied().unwrap_or(0);
        let left_by_others =
            |own_count: u32| limit_count.saturating_sub(self.total_count - own_count);
        let job_limit = job_share(left_by_others(of_job));
        let organisation_limit = organisation_share(left_by_others(of_organisation));
        job_limit.saturating_sub(of_job).min(organisation_limit.saturating_sub(of_organisation))
    }
}
