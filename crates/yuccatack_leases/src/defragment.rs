//! Moves of running jobs by checkpoint, where they make room for larger ones.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, Reservation, WorkerIndex, place, release_gain, slot_count};

use crate::job::{AttemptPhase, JobEntry};
use crate::message::LeaseCommand;
use crate::reservation::StarvedJob;
use crate::scheduler::Scheduler;
use crate::scheduling_pass::SchedulingPass;

/// What a move costs for each accelerator: checkpoint, stop, prepare and start.
const MOVE_COST_S: u64 = 10;
/// A job that was placed shorter ago is not moved, so that moves do not follow each other.
const SETTLED_AFTER: DurationMs = DurationMs::from_seconds(120);
/// A job that is expected to end sooner is not worth a move.
const LEAST_REMAINING: DurationMs = DurationMs::from_seconds(60);
/// Jobs moved at once; each needs a search for its new place, and all of them together must stay
/// within the time of one decision.
const MAX_MOVED: usize = 8;
/// Jobs that give way at once to a starved one; they need no search. The largest gang has 64.
const MAX_GIVING_WAY: usize = 64;
/// The wait between two moves without a starved job.
const CONSOLIDATION_INTERVAL: DurationMs = DurationMs::from_seconds(10);
/// A move that makes fewer accelerators usable is within the error of the estimate.
const LEAST_USABLE: f64 = 1.0;
/// Jobs that one such search looks at.
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

impl<'a> SchedulingPass<'a> {
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

    /// Whether the job gives way to a starved one: it came later and keeps its work.
    fn gives_way(&self, job: &JobEntry, starved: &JobEntry) -> bool {
        let Some(attempt) = job.attempt() else { return false };
        attempt.phase == AttemptPhase::Running
            && attempt.is_borrower()
            && job.spec.checkpointable
            && job.spec.class != PriorityClass::Urgent
            && job.submitted_at > starved.submitted_at
            && job.spec.accelerator_count() < starved.spec.accelerator_count()
    }

    fn offer(&self, worker: WorkerIndex, starved: Option<&JobEntry>) -> Option<Offer<'a>> {
        let table = self.table;
        let entry = table.worker_at(worker)?;
        let mut movable: Vec<(&JobName, &JobEntry)> = table
            .tasks_on(entry)
            .map(|(key, job)| (&key.job, job))
            .filter(|(name, job)| {
                let yields = starved.is_some_and(|starved| self.gives_way(job, starved));
                !self.decided.contains(name) && (yields || self.is_movable(job))
            })
            .collect();
        movable.dedup_by_key(|(name, _)| *name);
        movable.sort_by_key(|(name, job)| (job.spec.accelerator_count(), *name));
        Some(Offer { worker, free: self.overlay.free(worker), movable })
    }

    /// Whether the pause since the last search is over.
    pub(crate) fn may_search_room(&self, scheduler: &Scheduler) -> bool {
        scheduler.defragmented_at + MOVE_PAUSE <= self.now
    }

    /// Moves jobs out of one domain so that `name` fits there. Returns whether it pays. For a
    /// starved job, later ones give way even when they have to wait themselves.
    pub(crate) fn make_room(
        &mut self,
        scheduler: &mut Scheduler,
        name: &'a JobName,
        starved: bool,
        held: Option<&StarvedJob>,
    ) -> bool {
        let table = self.table;
        let Some(job) = table.jobs.get(name) else { return false };
        scheduler.defragmented_at = self.now;
        let wait_s = held.map_or(60, |held| held.reservation.start_at.since(self.now).get() / 1000);
        let Some(plan) = self.cheapest_plan(job, starved) else { return false };
        if plan.moved_count * MOVE_COST_S >= job.spec.accelerator_count() * wait_s {
            return false;
        }
        for moved in &plan.moved {
            self.move_attempt(moved);
        }
        let reservation =
            Reservation { workers: plan.workers, start_at: self.now, exclusive: true };
        scheduler.starved = Some(StarvedJob::with_reservation(name, reservation));
        true
    }

    fn move_attempt(&mut self, name: &'a JobName) {
        let Some(attempt) = self.table.jobs.get(name).and_then(JobEntry::attempt) else { return };
        self.decided.insert(name);
        let (job, epoch) = (name.clone(), attempt.epoch);
        self.commands.push(LeaseCommand::MoveAttempt { job, epoch, at: self.now });
    }

    fn cheapest_plan(&self, job: &JobEntry, starved: bool) -> Option<Plan<'a>> {
        let domains = self.table.cluster.emptiest_domains(job.spec.shape.adjacency);
        let plan = |workers: &Vec<WorkerIndex>| self.plan_domain(job, workers, starved);
        let mut plans: Vec<Plan<'a>> = domains.iter().filter_map(plan).collect();
        plans.sort_by_key(|plan| plan.moved_count);
        // The check for new places is the expensive part, so only the cheapest plans get it.
        plans.into_iter().take(2).find(|plan| starved || self.fits_elsewhere(plan))
    }

    /// The cheapest moves that free enough slots on `workers`.
    fn plan_domain(
        &self,
        job: &JobEntry,
        workers: &[WorkerIndex],
        starved: bool,
    ) -> Option<Plan<'a>> {
        let waiting = starved.then_some(job);
        let task = &job.spec.shape.task;
        let mut offers: Vec<Offer<'a>> =
            workers.iter().filter_map(|worker| self.offer(*worker, waiting)).collect();
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
            let limit = if starved { MAX_GIVING_WAY } else { MAX_MOVED };
            if plan.moved.len() > limit {
                return None;
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
                    overlay.allocate(part.worker, &amount, false);
                }
            }
        }
        true
    }

    /// Moves the jobs whose move makes the most free accelerators usable, so that gangs find room
    /// when they arrive.
    pub(crate) fn consolidate(&mut self, scheduler: &mut Scheduler) {
        if scheduler.defragmented_at + CONSOLIDATION_INTERVAL > self.now {
            return;
        }
        scheduler.defragmented_at = self.now;
        let length = self.table.active.len().max(1);
        let start = scheduler.consolidation_cursor % length;
        scheduler.consolidation_cursor = start + MAX_CONSOLIDATED;
        let active = || self.table.active.iter();
        let window = active().skip(start).chain(active().take(start)).take(MAX_CONSOLIDATED);
        let mut gains: Vec<(f64, &'a JobName)> =
            window.filter_map(|name| Some((self.move_gain(name)?, name))).collect();
        gains.sort_by(|left, right| right.0.total_cmp(&left.0));
        if let Some((_, name)) = gains.first() {
            self.move_attempt(name);
        }
    }

    /// What a move of the job to its best other place is worth, if it pays.
    fn move_gain(&self, name: &JobName) -> Option<f64> {
        let job = self.table.jobs.get(name)?;
        if !self.is_movable(job) {
            return None;
        }
        let worker = job.attempt()?.tasks.first()?.worker;
        let own = [Assignment { worker, task_count: job.spec.shape.task_count }];
        let task = &job.spec.shape.task;
        let freed = release_gain(&self.table.cluster, &self.profile, task, &own);
        let excluded = [worker];
        let mut request = self.request(job, &excluded);
        request.weights.fragmentation = 1.0;
        let found = place(&self.overlay, &request)?;
        let usable = freed - found.score;
        let policy = &self.table.policy;
        let remaining_s = self.table.expected_end(job, self.now).since(self.now).get() / 1000;
        let worth = policy.fragmentation_weight * usable * remaining_s as f64;
        let cost = policy.completion_weight * (job.spec.accelerator_count() * MOVE_COST_S) as f64;
        (usable >= LEAST_USABLE && worth > cost).then_some(worth - cost)
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
