//! Validation and placement of an attempt.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, WorkerIndex};

use crate::job::{Attempt, AttemptPhase, JobPhase, TaskSlot, TaskState};
use crate::message::{BeginAttempt, Claim, LeaseEvent, StopReason, WorkerTasks};
use crate::table::{GuaranteeEntry, LeaseTable, ShapeInstance};
use crate::worker::{TaskKey, WorkerHealth};

fn add(left: &Resources, right: &Resources) -> Resources {
    left.checked_add(right).unwrap_or(*left)
}

impl LeaseTable {
    pub(crate) fn begin_attempt(&mut self, begin: &BeginAttempt) -> Vec<LeaseEvent> {
        let refused = || vec![LeaseEvent::AttemptRefused(begin.job.clone(), begin.epoch)];
        let Some(parts) = self.resolve(&begin.assignments) else { return refused() };
        if !self.may_begin(begin, &parts) {
            return refused();
        }
        let claim = match &begin.claim {
            None => None,
            Some(claim) => {
                let key = (claim.guarantee.clone(), claim.instance);
                if !claim.binding.is_empty() {
                    let Some(binding) = self.resolve(&claim.binding) else { return refused() };
                    self.unbind(&key);
                    self.bind(&key, &binding);
                }
                if let Some(entry) = self.guarantees.get_mut(&key.0) {
                    entry.instances[key.1 as usize].claimed_by = Some(begin.job.clone());
                }
                Some(key)
            }
        };
        self.dequeue(&begin.job);
        self.active.insert(begin.job.clone());
        let Some(entry) = self.jobs.get_mut(&begin.job) else { return refused() };
        let slots = parts.iter().flat_map(|part| {
            let slot =
                TaskSlot { worker: part.worker, accelerator_mask: 0, state: TaskState::Booked };
            std::iter::repeat_n(slot, part.task_count as usize)
        });
        let attempt = Attempt {
            epoch: begin.epoch,
            tasks: slots.collect(),
            phase: AttemptPhase::Reclaiming,
            firm: claim.is_none() && !entry.spec.is_reclaimable(),
            claim,
            began_at: begin.at,
            started_at: None,
            deadline: None,
        };
        let (firm, task) = (attempt.firm, entry.spec.shape.task);
        let organisation = entry.spec.organisation.clone();
        let accelerators = entry.spec.accelerator_count();
        entry.last_epoch = begin.epoch;
        entry.phase = JobPhase::Active(Box::new(attempt));
        self.organisations.entry(organisation).or_default().held_accelerator_count += accelerators;
        let mut index = 0;
        for part in &parts {
            let Some(amount) = task.checked_mul(part.task_count) else { continue };
            self.cluster.update(part.worker, |capacity| {
                capacity.booked = add(&capacity.booked, &amount);
                if firm {
                    capacity.firm = add(&capacity.firm, &amount);
                }
            });
            if let Some(worker) = self.worker_at_mut(part.worker) {
                let keys = (index..index + part.task_count)
                    .map(|index| TaskKey { job: begin.job.clone(), index });
                worker.tasks.extend(keys);
            }
            index += part.task_count;
        }
        let mut events = vec![LeaseEvent::AttemptBegan(begin.job.clone(), begin.epoch)];
        if begin.claim.is_some() {
            events.extend(self.reclaim_for(&parts, begin.at));
        }
        for part in &parts {
            self.promote_booked(part.worker, begin.at);
        }
        events
    }

    fn resolve(&self, parts: &[WorkerTasks]) -> Option<Vec<Assignment>> {
        parts
            .iter()
            .map(|part| {
                let worker = self.cluster.worker_index(&part.worker)?;
                (part.task_count > 0).then_some(Assignment { worker, task_count: part.task_count })
            })
            .collect()
    }

    fn may_begin(&self, begin: &BeginAttempt, parts: &[Assignment]) -> bool {
        let Some(job) = self.jobs.get(&begin.job) else { return false };
        let shape = &job.spec.shape;
        let startable = job.phase == JobPhase::Waiting
            && begin.epoch == job.last_epoch.next()
            && job.may_restart();
        let complete = parts.iter().map(|part| part.task_count).sum::<u32>() == shape.task_count;
        if !startable || !complete || !self.is_adjacent(shape.adjacency, parts) {
            return false;
        }
        let held = self
            .organisations
            .get(&job.spec.organisation)
            .map_or(0, |entry| entry.held_accelerator_count);
        let quota = self.quota_of(&job.spec.organisation).map_or(u64::MAX, u64::from);
        if held + job.spec.accelerator_count() > quota {
            return false;
        }
        match &begin.claim {
            Some(claim) => self.may_claim(begin, claim, parts),
            None => parts.iter().all(|part| {
                let Some(capacity) = self.cluster.worker(part.worker) else { return false };
                let Some(amount) = shape.task.checked_mul(part.task_count) else { return false };
                let accepts_work = capacity.schedulable || self.is_probe(begin, part);
                let within_firm_headroom =
                    job.spec.is_reclaimable() || capacity.firm_headroom().contains(&amount);
                accepts_work && within_firm_headroom && capacity.free().contains(&amount)
            }),
        }
    }

    /// Returns `true` if the attempt is a due probe of a quarantined worker: the worker is idle and
    /// gets all tasks of an idempotent job.
    fn is_probe(&self, begin: &BeginAttempt, part: &Assignment) -> bool {
        let Some(worker) = self.worker_at(part.worker) else { return false };
        let Some(job) = self.jobs.get(&begin.job) else { return false };
        let due = match worker.health {
            WorkerHealth::Quarantined { probe_at } => probe_at <= begin.at,
            WorkerHealth::Healthy | WorkerHealth::Lost { .. } => false,
        };
        let complete = job.spec.shape.task_count == part.task_count;
        due && worker.tasks.is_empty() && complete && job.spec.idempotent
    }

    fn may_claim(&self, begin: &BeginAttempt, claim: &Claim, parts: &[Assignment]) -> bool {
        let Some(entry) = self.guarantees.get(&claim.guarantee) else { return false };
        let Some(instance) = entry.instances.get(claim.instance as usize) else { return false };
        let covered = self.jobs.get(&begin.job).is_some_and(|job| entry.spec.covers(&job.spec));
        if !covered || instance.claimed_by.is_some() {
            return false;
        }
        let bound: Vec<(WorkerIndex, u32)> = if claim.binding.is_empty() {
            instance.binding.clone()
        } else {
            let Some(binding) = self.resolve(&claim.binding) else { return false };
            if !self.may_bind(entry, instance, &binding) {
                return false;
            }
            binding.iter().map(|part| (part.worker, part.task_count)).collect()
        };
        parts.iter().all(|part| {
            let bound_part = bound.iter().find(|(worker, _)| *worker == part.worker);
            bound_part.is_some_and(|(_, task_count)| *task_count >= part.task_count)
        })
    }

    fn may_bind(
        &self,
        entry: &GuaranteeEntry,
        instance: &ShapeInstance,
        binding: &[Assignment],
    ) -> bool {
        let shape = &entry.spec.shape;
        let allowed = self.guaranteed_shape(&entry.spec).data_centres;
        let complete = binding.iter().map(|part| part.task_count).sum::<u32>() == shape.task_count;
        complete
            && self.is_adjacent(shape.adjacency, binding)
            && binding.iter().all(|part| {
                let Some(capacity) = self.cluster.worker(part.worker) else { return false };
                let current = instance.binding.iter().find(|(worker, _)| *worker == part.worker);
                let current =
                    current.and_then(|(_, task_count)| shape.task.checked_mul(*task_count));
                let headroom = add(&capacity.firm_headroom(), &current.unwrap_or_default());
                let allowed_here = allowed.is_empty() || allowed.contains(&capacity.data_centre);
                let fits = shape
                    .task
                    .checked_mul(part.task_count)
                    .is_some_and(|amount| headroom.contains(&amount));
                capacity.schedulable && allowed_here && fits
            })
    }

    pub(crate) fn is_adjacent(&self, adjacency: Adjacency, parts: &[Assignment]) -> bool {
        let domain = |part: &Assignment| {
            let capacity = self.cluster.worker(part.worker)?;
            Some(match adjacency {
                Adjacency::Worker => part.worker,
                Adjacency::Rack => capacity.rack,
                Adjacency::DataCentre => capacity.data_centre,
            })
        };
        let Some(first) = parts.first().and_then(domain) else { return false };
        parts.iter().all(|part| domain(part) == Some(first))
    }

    /// Preempts the borrowers whose capacity the bookings on these workers need.
    fn reclaim_for(&mut self, parts: &[Assignment], at: TimestampMs) -> Vec<LeaseEvent> {
        let mut victims: Vec<JobName> = Vec::new();
        for part in parts {
            let Some(additional) = self.preemption_victims(part.worker, &victims) else {
                let name = self.worker_name(part.worker);
                panic!(
                    "borrowers on worker {name:?} cannot free a guaranteed shape; \
                     report this as a bug"
                );
            };
            victims.extend(additional);
        }
        let reclaim = |job| self.evict_attempt(&job, StopReason::Reclaimed, at);
        victims.into_iter().flat_map(reclaim).collect()
    }
}
