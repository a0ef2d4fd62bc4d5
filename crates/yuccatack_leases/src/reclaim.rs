//! The choice of borrowers that give up capacity for a claim.

use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

use crate::job::{AttemptPhase, JobEntry};
use crate::table::LeaseTable;

fn add_to(total: &mut Resources, amount: &Resources) {
    if let Some(sum) = total.checked_add(amount) {
        *total = sum;
    }
}

/// What the loss of an attempt costs; lower gives way first.
///
/// A job that cannot be run again is lost when its checkpoint is late, so it gives way last.
fn cost(job: &JobEntry) -> (bool, std::cmp::Reverse<PriorityClass>, bool, std::cmp::Reverse<u64>) {
    let started = job.attempt().map_or(0, |attempt| attempt.began_at.get());
    let class = std::cmp::Reverse(job.spec.class);
    (!job.spec.idempotent, class, !job.spec.checkpointable, std::cmp::Reverse(started))
}

impl LeaseTable {
    /// Borrowers on `worker` that must end so that everything booked there fits, besides those
    /// in `chosen`. Nothing when even all of them do not suffice.
    pub(crate) fn victims_on(
        &self,
        worker: WorkerIndex,
        chosen: &[JobName],
    ) -> Option<Vec<JobName>> {
        let cell = self.cluster.worker(worker)?;
        let entry = self.worker_at(worker)?;
        let mut wanted = cell.used.checked_add(&cell.booked)?;
        let mut candidates: Vec<(&JobName, &JobEntry, Resources)> = Vec::new();
        for (key, job) in self.tasks_on(entry) {
            let Some(attempt) = job.attempt() else { continue };
            let ending =
                matches!(attempt.phase, AttemptPhase::Stopping(_) | AttemptPhase::Checkpointing(_));
            if ending || chosen.contains(&key.job) {
                wanted = wanted.checked_sub(&job.spec.shape.task)?;
                continue;
            }
            if !attempt.is_borrower() {
                continue;
            }
            match candidates.last_mut() {
                Some((name, _, amount)) if **name == key.job => {
                    add_to(amount, &job.spec.shape.task);
                }
                _ => candidates.push((&key.job, job, job.spec.shape.task)),
            }
        }
        candidates.sort_by_key(|(name, job, _)| (cost(job), (*name).clone()));
        let mut victims = Vec::new();
        for (name, _, amount) in candidates {
            if cell.total.contains(&wanted) {
                break;
            }
            wanted = wanted.checked_sub(&amount)?;
            victims.push(name.clone());
        }
        cell.total.contains(&wanted).then_some(victims)
    }
}
