//! Binding of guaranteed shapes to workers. A binding reserves capacity; borrowers may use it until
//! the shape is claimed, and a claiming job runs inside the binding.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, WorkerIndex, pack, pack_one};

use crate::check::GuaranteeRefusal;
use crate::job::JobPhase;
use crate::message::LeaseEvent;
use crate::spec::GuaranteeSpec;
use crate::table::{GuaranteeEntry, LeaseTable, ShapeInstance};

type InstanceKey = (RecordName, u32);

/// Bindings that fit together, planned for a new or changed guarantee.
pub(crate) struct BindingPlan {
    kept_count: usize,
    added: Vec<Vec<Assignment>>,
    moved: Vec<(InstanceKey, Vec<Assignment>)>,
}

fn add(total: &mut Resources, amount: &Resources) {
    if let Some(sum) = total.checked_add(amount) {
        *total = sum;
    }
}

fn subtract(total: &mut Resources, amount: &Resources) {
    *total = total.checked_sub(amount).unwrap_or_default();
}

impl LeaseTable {
    /// Returns the capacity of each healthy worker that is left for further guarantees.
    fn headroom(&self) -> Vec<Resources> {
        let mut headroom = self.offered_capacity();
        for (index, capacity) in self.cluster.workers().filter(|(_, capacity)| capacity.schedulable)
        {
            headroom[index as usize] = capacity.firm_headroom();
        }
        headroom
    }

    /// Returns the number of instances that keep their bindings when `guarantee` replaces the
    /// accepted one of the same name.
    fn kept_count(&self, guarantee: &GuaranteeSpec) -> usize {
        let unchanged = |entry: &&GuaranteeEntry| {
            entry.spec.shape == guarantee.shape
                && entry.spec.data_centres == guarantee.data_centres
                && entry.spec.organisation == guarantee.organisation
        };
        let known = self.guarantees.get(&guarantee.name).filter(unchanged);
        known.map_or(0, |entry| entry.instances.len().min(guarantee.shape_count as usize))
    }

    /// Plans bindings for `guarantee`. `None` when jobs that cannot be reclaimed block them.
    pub(crate) fn plan_bindings_with(&self, guarantee: &GuaranteeSpec) -> Option<BindingPlan> {
        let kept_count = self.kept_count(guarantee);
        let mut headroom = self.headroom();
        if let Some(entry) = self.guarantees.get(&guarantee.name) {
            for instance in entry.instances.iter().skip(kept_count) {
                self.release_reserved(&mut headroom, entry, instance);
            }
        }
        let requested = self.guaranteed_shape(guarantee);
        let added_count = guarantee.shape_count as usize - kept_count;
        let mut incremental = headroom.clone();
        let added: Option<Vec<_>> = (0..added_count)
            .map(|_| pack_one(&self.cluster, &mut incremental, &requested))
            .collect();
        if let Some(added) = added {
            return Some(BindingPlan { kept_count, added, moved: Vec::new() });
        }
        let mut keys = Vec::new();
        let mut shapes = Vec::new();
        for (name, entry) in &self.guarantees {
            let limit = if *name == guarantee.name { kept_count } else { entry.instances.len() };
            for (number, instance) in entry.instances.iter().enumerate().take(limit) {
                if instance.claimed_by.is_none() {
                    self.release_reserved(&mut headroom, entry, instance);
                    keys.push((name.clone(), number as u32));
                    shapes.push(self.guaranteed_shape(&entry.spec));
                }
            }
        }
        shapes.extend(std::iter::repeat_n(requested, added_count));
        let mut bindings = pack(&self.cluster, &mut headroom, &shapes).ok()?;
        let added = bindings.split_off(keys.len());
        Some(BindingPlan { kept_count, added, moved: keys.into_iter().zip(bindings).collect() })
    }

    /// Adds the capacity reserved for `instance` to `headroom`, less the part that a claiming job
    /// would hold firmly.
    fn release_reserved(
        &self,
        headroom: &mut [Resources],
        entry: &GuaranteeEntry,
        instance: &ShapeInstance,
    ) {
        for (worker, task_count) in &instance.binding {
            if self.cluster.worker(*worker).is_some_and(|capacity| capacity.schedulable)
                && let Some(amount) = entry.spec.shape.task.checked_mul(*task_count)
            {
                add(&mut headroom[*worker as usize], &amount);
            }
        }
        let claiming = instance.claimed_by.as_ref().and_then(|job| self.jobs.get(job));
        let Some(job) = claiming.filter(|job| !job.spec.is_reclaimable()) else { return };
        for task in job.attempt().into_iter().flat_map(|attempt| &attempt.tasks) {
            if !task.state.is_ended() {
                subtract(&mut headroom[task.worker as usize], &job.spec.shape.task);
            }
        }
    }

    pub(crate) fn set_guarantee(&mut self, guarantee: GuaranteeSpec) -> Vec<LeaseEvent> {
        let name = guarantee.name.clone();
        if let Err(refusal) = self.check_guarantee(&guarantee) {
            return vec![LeaseEvent::GuaranteeRefused(name, refusal)];
        }
        let Some(plan) = self.plan_bindings_with(&guarantee) else {
            let refusal = GuaranteeRefusal::BlockedByRunningJobs { guarantee: name.clone() };
            return vec![LeaseEvent::GuaranteeRefused(name, refusal)];
        };
        let known_count = self.guarantees.get(&name).map_or(0, |entry| entry.instances.len());
        for number in plan.kept_count..known_count {
            self.unbind(&(name.clone(), number as u32));
        }
        let entry = self
            .guarantees
            .entry(name.clone())
            .or_insert_with(|| GuaranteeEntry { spec: guarantee.clone(), instances: Vec::new() });
        entry.spec = guarantee;
        entry.instances.truncate(plan.kept_count);
        for (key, _) in &plan.moved {
            self.unbind(key);
        }
        for (key, binding) in &plan.moved {
            self.bind(key, binding);
        }
        for (offset, binding) in plan.added.iter().enumerate() {
            if let Some(entry) = self.guarantees.get_mut(&name) {
                entry.instances.push(ShapeInstance::default());
            }
            self.bind(&(name.clone(), (plan.kept_count + offset) as u32), binding);
        }
        vec![LeaseEvent::GuaranteeAccepted(name)]
    }

    pub(crate) fn remove_guarantee(&mut self, name: &RecordName) -> Vec<LeaseEvent> {
        let count = self.guarantees.get(name).map_or(0, |entry| entry.instances.len());
        for number in 0..count {
            self.unbind(&(name.clone(), number as u32));
        }
        self.guarantees.remove(name);
        self.unbacked.retain(|(guarantee, _)| guarantee != name);
        self.rebind_unbacked()
    }

    /// Reserves capacity for an instance.
    pub(crate) fn bind(&mut self, key: &InstanceKey, binding: &[Assignment]) {
        let Some(entry) = self.guarantees.get_mut(&key.0) else { return };
        let task = entry.spec.shape.task;
        let Some(instance) = entry.instances.get_mut(key.1 as usize) else { return };
        instance.bind(binding);
        self.unbacked.remove(key);
        for part in binding {
            let Some(amount) = task.checked_mul(part.task_count) else { continue };
            self.cluster.update(part.worker, |capacity| add(&mut capacity.reserved, &amount));
        }
    }

    /// Releases the capacity reserved for an instance. A job that claims it becomes a borrower, or
    /// holds its capacity firmly when it cannot be reclaimed.
    pub(crate) fn unbind(&mut self, key: &InstanceKey) {
        let Some(entry) = self.guarantees.get_mut(&key.0) else { return };
        let task = entry.spec.shape.task;
        let Some(instance) = entry.instances.get_mut(key.1 as usize) else { return };
        let binding = std::mem::take(&mut instance.binding);
        let claimed_by = instance.claimed_by.take();
        self.unbacked.insert(key.clone());
        for (worker, task_count) in binding {
            let Some(amount) = task.checked_mul(task_count) else { continue };
            self.cluster.update(worker, |capacity| subtract(&mut capacity.reserved, &amount));
        }
        if let Some(job) = claimed_by {
            self.release_claim(&job);
        }
    }

    fn release_claim(&mut self, job: &JobName) {
        let Some(entry) = self.jobs.get_mut(job) else { return };
        let JobPhase::Active(attempt) = &mut entry.phase else { return };
        attempt.claim = None;
        attempt.firm = !entry.spec.is_reclaimable();
        if !attempt.firm {
            return;
        }
        let task = entry.spec.shape.task;
        let held = attempt.tasks.iter().filter(|slot| !slot.state.is_ended());
        for worker in held.map(|slot| slot.worker).collect::<Vec<_>>() {
            self.cluster.update(worker, |capacity| add(&mut capacity.firm, &task));
        }
    }

    /// Removes every binding that uses a worker, because the worker no longer counts as capacity.
    pub(crate) fn unbind_worker(&mut self, worker: WorkerIndex) {
        let mut keys = Vec::new();
        for (name, entry) in &self.guarantees {
            for (number, instance) in entry.instances.iter().enumerate() {
                if instance.binding.iter().any(|(bound, _)| *bound == worker) {
                    keys.push((name.clone(), number as u32));
                }
            }
        }
        for key in keys {
            self.unbind(&key);
        }
    }

    /// Binds the instances without a binding again, moving unclaimed instances where that helps.
    /// Reports the guarantees that remain unbacked.
    pub(crate) fn rebind_unbacked(&mut self) -> Vec<LeaseEvent> {
        if self.unbacked.is_empty() {
            return Vec::new();
        }
        let unbacked: Vec<InstanceKey> = self.unbacked.iter().cloned().collect();
        let mut headroom = self.headroom();
        let mut missing = Vec::new();
        for key in unbacked {
            let Some(entry) = self.guarantees.get(&key.0) else { continue };
            let shape = self.guaranteed_shape(&entry.spec);
            match pack_one(&self.cluster, &mut headroom, &shape) {
                Some(binding) => self.bind(&key, &binding),
                None => missing.push(key),
            }
        }
        if !missing.is_empty() {
            self.repack_unclaimed(&mut missing);
        }
        missing.into_iter().map(|(name, _)| LeaseEvent::GuaranteeUnbacked(name)).collect()
    }

    /// Packs every unclaimed instance again; clears `missing` when all of them fit.
    fn repack_unclaimed(&mut self, missing: &mut Vec<InstanceKey>) {
        let mut headroom = self.headroom();
        let mut keys = Vec::new();
        let mut shapes = Vec::new();
        for (name, entry) in &self.guarantees {
            for (number, instance) in entry.instances.iter().enumerate() {
                if instance.claimed_by.is_none() {
                    self.release_reserved(&mut headroom, entry, instance);
                    keys.push((name.clone(), number as u32));
                    shapes.push(self.guaranteed_shape(&entry.spec));
                }
            }
        }
        let Ok(bindings) = pack(&self.cluster, &mut headroom, &shapes) else { return };
        for key in &keys {
            self.unbind(key);
        }
        for (key, binding) in keys.iter().zip(&bindings) {
            self.bind(key, binding);
        }
        missing.clear();
    }
}
