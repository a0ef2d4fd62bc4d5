//! Moves of running jobs by checkpoint, where they make room for larger ones.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Reservation, WorkerIndex, place, slot_count};

use crate::job::{AttemptPhase, JobEntry};
use crate::message::LeaseCommand;
use crate::reservation::StarvedJob;
use crate::schedule::Pass;
use crate::volatile::Volatile;

/// What a move costs for each accelerator: checkpoint, stop, prepare and start.
const MOVE_COST_S: u64 = 10;
/// A job that was placed shorter ago is not moved, so that moves do not follow each other.
const SETTLED_AFTER: DurationMs = DurationMs::from_seconds(120);
/// A job that is expected to end sooner is not worth a move.
const LEAST_REMAINING: DurationMs = DurationMs::from_seconds(60);
/// The wait between two searches for moves without a waiting job.
const CONSOLIDATION_INTERVAL: DurationMs = DurationMs::from_seconds(10);
/// Workers that one such search looks at.
const MAX_CONSOLIDATED: usize = 64;

/// A way to make room.
struct Plan<'a> {
    workers: FastHashSet<WorkerIndex>,
    moved: Vec<&'a JobName>,
    moved_count: u64,
}

/// What a worker can offer to a waiting gang.
struct Offer<'a> {
    worker: WorkerIndex,
    free: Resources,
    movable: Vec<(&'a JobName, &'a JobEntry)>,
}

impl<'a> Pass<'a> {
    /// Whether the job runs on one worker and can be moved off it at little cost.
    fn is_movable(&self, job: &JobEntry) -> bool {
        let Some(attempt) = job.attempt() else { return false };
        let settled =
            attempt.started_at.is_some_and(|start| self.now.since(start) >= SETTLED_AFTER);
        let remaining = self.table.expected_end(job, self.now).since(self.now);
        let first = attempt.tasks.first().map(|slot| slot.worker);
        settled
            && attempt.phase == AttemptPhase::Running
            && attempt.is_borrower()
            && job.spec.checkpointable
            && job.spec.class != PriorityClass::Urgent
            && remaining >= LEAST_REMAINING
            && attempt.tasks.iter().all(|slot| Some(slot.worker) == first)
    }

    fn offer(&self, worker: WorkerIndex) -> Option<Offer<'a>> {
        let table = self.table;
        let entry = table.worker_at(worker)?;
        let mut movable: Vec<(&JobName, &JobEntry)> = table
            .tasks_on(entry)
            .map(|(key, job)| (&key.job, job))
            .filter(|(name, job)| !self.decided.contains(name) && self.is_movable(job))
            .collect();
        movable.dedup_by_key(|(name, _)| *name);
        movable.sort_by_key(|(name, job)| (job.spec.accelerator_count(), *name));
        Some(Offer { worker, free: self.overlay.free(worker), movable })
    }

    /// Moves jobs out of one domain so that `name` fits there. Returns whether it pays.
    pub(crate) fn make_room(&mut self, volatile: &mut Volatile, name: &'a JobName) -> bool {
        let table = self.table;
        let Some(job) = table.jobs.get(name) else { return false };
        if !job.spec.is_reclaimable() || volatile.defragmented_at + MOVE_PAUSE > self.now {
            return false;
        }
        volatile.defragmented_at = self.now;
        let wait_s = StarvedJob::new(table, name, self.now)
            .map_or(60, |held| held.reservation.start_at.since(self.now).get() / 1000);
        let Some(plan) = self.cheapest_plan(job) else { return false };
        if plan.moved_count * MOVE_COST_S >= job.spec.accelerator_count() * wait_s {
            return false;
        }
        for moved in &plan.moved {
            self.move_attempt(moved);
        }
        let reservation = Reservation { workers: plan.workers, start_at: self.now };
        volatile.starved = Some(StarvedJob::with_reservation(name, reservation, self.now));
        true
    }

    fn move_attempt(&mut self, name: &'a JobName) {
        let Some(attempt) = self.table.jobs.get(name).and_then(JobEntry::attempt) else { return };
        self.decided.insert(name);
        let (job, epoch) = (name.clone(), attempt.epoch);
        self.commands.push(LeaseCommand::MoveAttempt { job, epoch, at: self.now });
    }

    fn cheapest_plan(&self, job: &JobEntry) -> Option<Plan<'a>> {
        let shape = &job.spec.shape;
        let mut domains: FastHashMap<u32, Vec<WorkerIndex>> = FastHashMap::default();
        for (index, cell) in self.table.cluster.workers().filter(|(_, cell)| cell.schedulable) {
            let key = match shape.adjacency {
                Adjacency::Worker => index,
                Adjacency::Rack => cell.rack,
                Adjacency::DataCentre => cell.data_centre,
            };
            domains.entry(key).or_default().push(index);
        }
        let mut keys: Vec<u32> = domains.keys().copied().collect();
        keys.sort_unstable();
        let mut plans: Vec<Plan<'a>> =
            keys.iter().filter_map(|key| self.plan_domain(job, &domains[key])).collect();
        plans.sort_by_key(|plan| plan.moved_count);
        // The check for new places is the expensive part, so only the cheapest plans get it.
        plans.into_iter().take(4).find(|plan| self.fits_elsewhere(plan))
    }

    /// The cheapest moves that free enough slots on `workers`.
    fn plan_domain(&self, job: &JobEntry, workers: &[WorkerIndex]) -> Option<Plan<'a>> {
        let task = &job.spec.shape.task;
        let mut offers: Vec<Offer<'a>> =
            workers.iter().filter_map(|worker| self.offer(*worker)).collect();
        let slots = |offer: &Offer<'a>| slot_count(&offer.free, task);
        let mut plan = Plan { workers: FastHashSet::default(), moved: Vec::new(), moved_count: 0 };
        let mut total: u32 = offers.iter().map(slots).sum();
        while total < job.spec.shape.task_count {
            // The worker where one more slot costs the fewest moved accelerators.
            let (position, steps, cost) = offers
                .iter()
                .enumerate()
                .filter_map(|(position, offer)| {
                    let (steps, cost) = next_slot(offer, task)?;
                    Some((position, steps, cost))
                })
                .min_by_key(|(position, _, cost)| (*cost, *position))?;
            let offer = &mut offers[position];
            let before = slots(offer);
            for (name, moved) in offer.movable.drain(..steps) {
                let whole = moved.spec.shape.task.checked_mul(moved.spec.shape.task_count)?;
                offer.free = offer.free.checked_add(&whole)?;
                plan.moved.push(name);
            }
            plan.moved_count += cost;
            total += slots(offer) - before;
        }
        plan.workers = offers.iter().filter(|o| slots(o) > 0).map(|o| o.worker).collect();
        (!plan.moved.is_empty()).then_some(plan)
    }

    /// Whether everything that moves fits outside the planned workers now.
    fn fits_elsewhere(&self, plan: &Plan<'a>) -> bool {
        let excluded: Vec<WorkerIndex> = plan.workers.iter().copied().collect();
        let mut overlay = self.overlay.clone();
        for name in &plan.moved {
            let Some(job) = self.table.jobs.get(*name) else { return false };
            let mut request = self.request(job, &excluded);
            request.reservation = None;
            let Some(found) = place(&overlay, &request) else { return false };
            for part in found.assignments {
                if let Some(amount) = job.spec.shape.task.checked_mul(part.task_count) {
                    overlay.take(part.worker, &amount, false);
                }
            }
        }
        true
    }

    /// Without waiting jobs: moves a job off a nearly empty worker to a fuller one, so that whole
    /// workers stay free for gangs.
    pub(crate) fn consolidate(&mut self, volatile: &mut Volatile) {
        if volatile.defragmented_at + CONSOLIDATION_INTERVAL > self.now {
            return;
        }
        volatile.defragmented_at = self.now;
        let length = self.table.cluster.workers().count().max(1);
        let start = volatile.consolidation_cursor % length;
        volatile.consolidation_cursor = start + MAX_CONSOLIDATED;
        let cells = self.table.cluster.workers().filter(|(_, cell)| cell.schedulable);
        let mut sources: Vec<(u32, WorkerIndex)> = cells
            .skip(start)
            .chain(self.table.cluster.workers().filter(|(_, cell)| cell.schedulable).take(start))
            .take(MAX_CONSOLIDATED)
            .map(|(index, cell)| (cell.used.accelerator_count, index))
            .filter(|(used, _)| *used > 0)
            .collect();
        sources.sort_unstable();
        for (used, worker) in sources {
            if self.empty_worker(worker, used) {
                return;
            }
        }
    }

    /// Moves everything off a worker if all of it fits on fuller workers.
    fn empty_worker(&mut self, worker: WorkerIndex, used: u32) -> bool {
        let Some(offer) = self.offer(worker) else { return false };
        let movable: u64 = offer.movable.iter().map(|(_, job)| job.spec.accelerator_count()).sum();
        if movable < u64::from(used) {
            return false;
        }
        let emptier: Vec<WorkerIndex> = self
            .table
            .cluster
            .workers()
            .filter(|(index, cell)| *index == worker || cell.used.accelerator_count < used.max(1))
            .map(|(index, _)| index)
            .collect();
        let moved: Vec<&'a JobName> = offer.movable.iter().map(|(name, _)| *name).collect();
        let plan = Plan { workers: emptier.into_iter().collect(), moved, moved_count: movable };
        if !self.fits_elsewhere(&plan) {
            return false;
        }
        for name in &plan.moved {
            self.move_attempt(name);
        }
        true
    }
}

/// The wait between two searches for moves on behalf of a waiting job.
const MOVE_PAUSE: DurationMs = DurationMs::from_seconds(5);

/// How many of the worker's movable jobs must go for one more slot, and their accelerators.
fn next_slot(offer: &Offer<'_>, task: &Resources) -> Option<(usize, u64)> {
    let before = slot_count(&offer.free, task);
    let mut free = offer.free;
    let mut cost = 0;
    for (steps, (_, job)) in offer.movable.iter().enumerate() {
        let whole = job.spec.shape.task.checked_mul(job.spec.shape.task_count)?;
        free = free.checked_add(&whole)?;
        cost += job.spec.accelerator_count();
        if slot_count(&free, task) > before {
            return Some((steps + 1, cost));
        }
    }
    None
}
