//! Invariants of the lease table, asserted after commands are applied.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;

use crate::job::{AttemptPhase, TaskState};
use crate::table::LeaseTable;

/// Number of workers up to which the full check runs after every command.
const FULL_CHECK_MAX_WORKERS: usize = 32;
/// Commands between two full checks on larger platforms, because each check visits every task.
const FULL_CHECK_INTERVAL_COMMANDS: u64 = 4_096;

impl LeaseTable {
    pub(crate) fn assert_invariants(&self) {
        let small = self.workers.len() <= FULL_CHECK_MAX_WORKERS;
        let sampled = self.applied_count.is_multiple_of(FULL_CHECK_INTERVAL_COMMANDS);
        if !small && !sampled {
            return;
        }
        if let Err(violation) = self.verify() {
            panic!("lease table is inconsistent: {violation}; report this as a bug");
        }
    }

    /// Recomputes the capacity of every worker from attempts and bindings, and compares it with the
    /// stored values.
    ///
    /// Also checks that every unclaimed guaranteed shape can be freed by reclaiming borrowers
    /// alone, that every task of a started gang was prepared, and that no accelerator has two
    /// users.
    pub fn verify(&self) -> Result<(), String> {
        let mut used: BTreeMap<u32, Resources> = BTreeMap::new();
        let mut booked: BTreeMap<u32, Resources> = BTreeMap::new();
        let mut firm: BTreeMap<u32, Resources> = BTreeMap::new();
        let mut masks: BTreeMap<u32, u64> = BTreeMap::new();
        let add = |map: &mut BTreeMap<u32, Resources>, worker: u32, amount: &Resources| {
            let slot = map.entry(worker).or_default();
            *slot = slot.checked_add(amount).unwrap_or(*slot);
        };
        for name in &self.active {
            let Some(job) = self.jobs.get(name) else { continue };
            let Some(attempt) = job.attempt() else {
                return Err(format!("{name} is listed as active without an attempt"));
            };
            let need = &job.spec.shape.task;
            for task in &attempt.tasks {
                match task.state {
                    TaskState::Ended(_) => continue,
                    TaskState::Booked => add(&mut booked, task.worker, need),
                    TaskState::Assigned | TaskState::Prepared => {
                        add(&mut used, task.worker, need);
                        let mask = masks.entry(task.worker).or_default();
                        if *mask & task.accelerator_mask != 0 {
                            return Err(format!("an accelerator of {name} has two users"));
                        }
                        *mask |= task.accelerator_mask;
                        if task.accelerator_mask.count_ones() != need.accelerator_count {
                            return Err(format!("a task of {name} has too few accelerators"));
                        }
                    }
                }
                if attempt.firm {
                    add(&mut firm, task.worker, need);
                }
            }
            let partial = attempt.phase == AttemptPhase::Running
                && attempt.tasks.iter().any(|task| task.state == TaskState::Assigned);
            if partial {
                return Err(format!("{name} runs without all of its tasks"));
            }
            if attempt.firm && attempt.claim.is_some() {
                return Err(format!("{name} holds capacity both firmly and in a claim"));
            }
        }
        let mut reserved: BTreeMap<u32, Resources> = BTreeMap::new();
        for (name, entry) in &self.guarantees {
            for (number, instance) in entry.instances.iter().enumerate() {
                let key = (name.clone(), number as u32);
                if instance.binding.is_empty() != self.unbacked.contains(&key) {
                    return Err(format!("guarantee {name} is neither bound nor reported unbacked"));
                }
                for (worker, count) in &instance.binding {
                    let amount = entry.spec.shape.task.checked_mul(*count).unwrap_or_default();
                    add(&mut reserved, *worker, &amount);
                }
            }
        }
        for (index, capacity) in self.cluster.workers() {
            let recomputed =
                |map: &BTreeMap<u32, Resources>| map.get(&index).copied().unwrap_or_default();
            let mask = masks.get(&index).copied().unwrap_or_default();
            let consistent = capacity.used == recomputed(&used)
                && capacity.booked == recomputed(&booked)
                && capacity.firm == recomputed(&firm)
                && capacity.reserved == recomputed(&reserved)
                && capacity.accelerator_mask == mask;
            if !consistent {
                return Err(format!("the capacity of {} does not match its tasks", capacity.name));
            }
            if !capacity.total.contains(&capacity.used) {
                return Err(format!("{} is used beyond its capacity", capacity.name));
            }
            let committed = capacity.firm.checked_add(&capacity.reserved).unwrap_or(capacity.firm);
            if capacity.schedulable && !capacity.total.contains(&committed) {
                return Err(format!("a guaranteed shape on {} cannot be reclaimed", capacity.name));
            }
        }
        self.verify_claims()
    }

    /// Checks that a claiming job runs inside its binding and takes nothing from other guarantees.
    fn verify_claims(&self) -> Result<(), String> {
        for (name, entry) in &self.guarantees {
            for instance in &entry.instances {
                let Some(job) = &instance.claimed_by else { continue };
                let attempt = self.jobs.get(job).and_then(|job| job.attempt());
                let Some(attempt) = attempt else {
                    return Err(format!(
                        "guarantee {name} is claimed by {job}, which holds nothing"
                    ));
                };
                let mut left: BTreeMap<u32, u32> = instance.binding.iter().copied().collect();
                for task in attempt.tasks.iter().filter(|task| !task.state.is_ended()) {
                    match left.get_mut(&task.worker) {
                        Some(count) if *count > 0 => *count -= 1,
                        _ => return Err(format!("{job} runs outside its claim of {name}")),
                    }
                }
            }
        }
        Ok(())
    }
}
