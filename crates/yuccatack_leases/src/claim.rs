//! Selection of a guaranteed shape for a job to claim.

use yuccatack_core::prelude::*;
use yuccatack_placement::{AllocationKind, Assignment, WorkerIndex, place, slot_count};

use crate::job::JobEntry;
use crate::message::Claim;
use crate::scheduling_pass::SchedulingPass;
use crate::table::GuaranteeEntry;

/// Longest wait for the checkpoint of a borrower; mirrors [`crate::CHECKPOINT_TIMEOUT`].
const RECLAIM_DELAY_S: f64 = 3.0;

impl<'a> SchedulingPass<'a> {
    /// Returns the unclaimed shapes that the job may claim, the smallest guarantee first.
    fn claimable(&self, job: &JobEntry) -> Vec<(&'a GuaranteeEntry, u32)> {
        let Some(entries) = self.guarantees.get(&job.spec.organisation) else { return Vec::new() };
        let accelerators = |entry: &GuaranteeEntry| {
            u64::from(entry.spec.shape.task_count)
                * u64::from(entry.spec.shape.task.accelerator_count)
        };
        // A small job that is not urgent would block a large shape for the job it is meant for.
        let eligible = |entry: &GuaranteeEntry| {
            job.spec.class == PriorityClass::Urgent
                || 2 * job.spec.accelerator_count() >= accelerators(entry)
        };
        let mut entries: Vec<&GuaranteeEntry> = entries
            .iter()
            .copied()
            .filter(|entry| entry.spec.covers(&job.spec) && eligible(entry))
            .collect();
        entries.sort_by_key(|entry| accelerators(entry));
        let mut found = Vec::new();
        for entry in entries {
            for (number, instance) in entry.instances.iter().enumerate() {
                let key = (&entry.spec.name, number as u32);
                let claimable = instance.claimed_by.is_none() && !instance.binding.is_empty();
                if claimable && !self.claimed.contains(&key) {
                    found.push((entry, key.1));
                }
            }
        }
        found
    }

    /// Assigns the tasks of the job to the slots of a binding.
    fn assign_tasks(job: &JobEntry, binding: &[(WorkerIndex, u32)]) -> Vec<Assignment> {
        let mut missing = job.spec.shape.task_count;
        let mut parts = Vec::new();
        for (worker, slots) in binding {
            let task_count = missing.min(*slots);
            if task_count > 0 {
                parts.push(Assignment { worker: *worker, task_count });
                missing -= task_count;
            }
        }
        parts
    }

    fn is_free(&self, job: &JobEntry, parts: &[Assignment]) -> bool {
        parts.iter().all(|part| {
            let free = self.overlay.free(part.worker);
            slot_count(&free, &job.spec.shape.task) >= part.task_count
        })
    }

    /// Finds a claim that preempts no borrower: inside a binding, or by moving a binding.
    pub(crate) fn claim_without_reclaim(
        &mut self,
        job: &JobEntry,
    ) -> Option<(Vec<Assignment>, Claim)> {
        let claimable = self.claimable(job);
        for (entry, number) in &claimable {
            let instance = &entry.instances[*number as usize];
            let parts = Self::assign_tasks(job, &instance.binding);
            if self.is_free(job, &parts) {
                let guarantee = entry.spec.name.clone();
                let claim = Claim { guarantee, instance: *number, binding: Vec::new() };
                return Some((parts, claim));
            }
        }
        let (entry, number) = *claimable.first()?;
        let instance = &entry.instances[number as usize];
        let amounts: Vec<(WorkerIndex, Resources)> = instance
            .binding
            .iter()
            .filter_map(|(worker, count)| {
                Some((*worker, entry.spec.shape.task.checked_mul(*count)?))
            })
            .collect();
        for (worker, amount) in &amounts {
            self.overlay.unreserve(*worker, amount);
        }
        let data_centres = self.table.guaranteed_shape(&entry.spec).data_centres;
        let mut request = self.request(job, &[]);
        request.shape = entry.spec.shape;
        request.data_centres = &data_centres;
        request.allocation_kind = AllocationKind::Firm;
        request.reservation = None;
        let found = place(&self.overlay, &request);
        self.search_count += 1;
        for (worker, amount) in &amounts {
            self.overlay.restore_reserved(*worker, amount);
        }
        let binding: Vec<(WorkerIndex, u32)> =
            found?.assignments.iter().map(|part| (part.worker, part.task_count)).collect();
        let guarantee = entry.spec.name.clone();
        let parts = Self::assign_tasks(job, &binding);
        let binding = self.with_worker_names(binding.iter().copied());
        Some((parts, Claim { guarantee, instance: number, binding }))
    }

    /// Finds the claim for which borrowers must release the fewest slots.
    pub(crate) fn claim_with_reclaim(
        &mut self,
        job: &JobEntry,
    ) -> Option<(Vec<Assignment>, Claim)> {
        let policy = &self.table.policy;
        let cost = |parts: &[Assignment]| {
            let missing_slot_count: u64 = parts
                .iter()
                .map(|part| {
                    let free = slot_count(&self.overlay.free(part.worker), &job.spec.shape.task);
                    u64::from(part.task_count.saturating_sub(free))
                })
                .sum();
            policy.completion_weight * RECLAIM_DELAY_S * missing_slot_count as f64
        };
        let options = self.claimable(job).into_iter().map(|(entry, number)| {
            let parts = Self::assign_tasks(job, &entry.instances[number as usize].binding);
            (cost(&parts), parts, entry, number)
        });
        let (_, parts, entry, instance) =
            options.min_by(|left, right| left.0.total_cmp(&right.0))?;
        let guarantee = entry.spec.name.clone();
        Some((parts, Claim { guarantee, instance, binding: Vec::new() }))
    }
}
