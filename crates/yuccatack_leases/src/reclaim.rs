//! Selection of the borrowers that are preempted for a claim.

use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

use crate::job::{AttemptPhase, JobEntry};
use crate::table::LeaseTable;

fn add(total: &mut Resources, amount: &Resources) {
    if let Some(sum) = total.checked_add(amount) {
        *total = sum;
    }
}

/// Returns the cost of preempting an attempt; the lowest is preempted first.
///
/// A job that cannot be run again is lost when its checkpoint is late, so it is preempted last.
fn preemption_cost(
    job: &JobEntry,
) -> (bool, std::cmp::Reverse<PriorityClass>, bool, std::cmp::Reverse<u64>) {
    let began_at_ms = job.attempt().map_or(0, |attempt| attempt.began_at.get());
    let class = std::cmp::Reverse(job.spec.class);
    (!job.spec.idempotent, class, !job.spec.checkpointable, std::cmp::Reverse(began_at_ms))
}

impl LeaseTable {
    /// Returns the borrowers on `worker`, besides those in `chosen`, that must end so that
    /// everything booked there fits. `None` when ending all of them does not suffice.
    pub(crate) fn preemption_victims(
        &self,
        worker: WorkerIndex,
        chosen: &[JobName],
    ) -> Option<Vec<JobName>> {
        let capacity = self.cluster.worker(worker)?;
        let entry = self.worker_at(worker)?;
        let mut needed = capacity.used.checked_add(&capacity.booked)?;
        let mut candidates: Vec<(&JobName, &JobEntry, Resources)> = Vec::new();
        for (key, job) in self.tasks_on(entry) {
            let Some(attempt) = job.attempt() else { continue };
            let ending =
                matches!(attempt.phase, AttemptPhase::Stopping(_) | AttemptPhase::Checkpointing(_));
            if ending || chosen.contains(&key.job) {
                needed = needed.checked_sub(&job.spec.shape.task)?;
                continue;
            }
            if !attempt.is_borrower() {
                continue;
            }
            match candidates.last_mut() {
                Some((name, _, amount)) if **name == key.job => {
                    add(amount, &job.spec.shape.task);
                }
                _ => candidates.push((&key.job, job, job.spec.shape.task)),
            }
        }
        candidates.sort_by_key(|(name, job, _)| (preemption_cost(job), (*name).clone()));
        let mut victims = Vec::new();
        for (name, _, amount) in candidates {
            if capacity.total.contains(&needed) {
                break;
            }
            needed = needed.checked_sub(&amount)?;
            victims.push(name.clone());
        }
        capacity.total.contains(&needed).then_some(victims)
    }
}
