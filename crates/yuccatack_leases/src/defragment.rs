//! Moves of running jobs by checkpoint, to make capacity usable for larger jobs.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, Reservation, WorkerIndex, place, release_gain, slot_count};

use crate::job::{AttemptPhase, JobEntry};
use crate::message::LeaseCommand;
use crate::reservation::StarvedJob;
use crate::scheduler::Scheduler;
use crate::scheduling_pass::SchedulingPass;

/// Time that a move costs for each accelerator: checkpoint, stop, prepare and start.
const MOVE_COST_S: u64 = 10;
/// Run time of an attempt before its job may be moved, so that a job is not moved repeatedly.
const MIN_RUN_TIME_BEFORE_MOVE: DurationMs = DurationMs::from_seconds(120);
/// Expected remaining run time below which a move costs more than it gains.
const MIN_REMAINING_RUN_TIME: DurationMs = DurationMs::from_seconds(60);
/// Maximum number of jobs moved at once. Each needs a search for its new placement, and all of them
/// together must stay within the time of one decision.
const MAX_MOVED_JOBS: usize = 8;
/// Maximum number of jobs preempted at once for a starved job; they need no search. The largest
/// gang has 64 tasks.
const MAX_PREEMPTED_JOBS: usize = 64;
/// Minimum time between a search for moves and a consolidation search. The latter runs only while
/// no job holds a reservation.
const CONSOLIDATION_INTERVAL: DurationMs = DurationMs::from_seconds(10);
/// Accelerators that a move must make usable; fewer are within the error of the estimate.
const MIN_GAIN_ACCELERATORS: f64 = 1.0;
/// Maximum number of jobs that one consolidation search considers.
const MAX_CONSOLIDATION_CANDIDATES: usize = 64;

/// Jobs to move so that a gang fits on `workers`.
struct MovePlan<'a> {
    workers: FastHashSet<WorkerIndex>,
    moved: Vec<&'a JobName>,
    moved_accelerator_count: u64,
}

/// Capacity that a worker can offer to a waiting gang.
struct Offer<'a> {
    worker: WorkerIndex,
    free: Resources,
    movable: Vec<(&'a JobName, &'a JobEntry)>,
}

impl<'a> SchedulingPass<'a> {
    /// Returns `true` if the job runs on a single worker and can be moved off it at a low cost.
    fn is_movable(&self, job: &JobEntry) -> bool {
        let Some(attempt) = job.attempt() else { return false };
        let settled = attempt
            .started_at
            .is_some_and(|start| self.now.since(start) >= MIN_RUN_TIME_BEFORE_MOVE);
        let remaining = self.table.expected_end(job, self.now).since(self.now);
        let first = attempt.tasks.first().map(|slot| slot.worker);
        settled
            && attempt.phase == AttemptPhase::Running
            && attempt.is_borrower()
            && job.spec.checkpointable
            && job.spec.class != PriorityClass::Urgent
            && remaining >= MIN_REMAINING_RUN_TIME
            && attempt.tasks.iter().all(|slot| Some(slot.worker) == first)
    }

    /// Returns `true` if the job may be preempted for a starved one: it was submitted later, is
    /// smaller, and keeps its progress.
    fn is_preemptible_for(&self, job: &JobEntry, starved: &JobEntry) -> bool {
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
                let preemptible =
                    starved.is_some_and(|starved| self.is_preemptible_for(job, starved));
                !self.decided.contains(name) && (preemptible || self.is_movable(job))
            })
            .collect();
        movable.dedup_by_key(|(name, _)| *name);
        movable.sort_by_key(|(name, job)| (job.spec.accelerator_count(), *name));
        Some(Offer { worker, free: self.overlay.free(worker), movable })
    }

    /// Returns `true` if the interval since the last search for moves has passed.
    pub(crate) fn may_search_moves(&self, scheduler: &Scheduler) -> bool {
        scheduler.defragmented_at + MOVE_SEARCH_INTERVAL <= self.now
    }

    /// Moves jobs out of one domain so that `name` fits there. Returns `false` when no plan is
    /// worth its cost. For a starved job, later jobs are preempted even when they have to wait.
    pub(crate) fn free_capacity_for(
        &mut self,
        scheduler: &mut Scheduler,
        name: &'a JobName,
        starved: bool,
        candidate: Option<&StarvedJob>,
    ) -> bool {
        let table = self.table;
        let Some(job) = table.jobs.get(name) else { return false };
        scheduler.defragmented_at = self.now;
        let wait_s =
            candidate.map_or(60, |job| job.reservation.start_at.since(self.now).get() / 1000);
        let Some(plan) = self.cheapest_plan(job, starved) else { return false };
        if plan.moved_accelerator_count * MOVE_COST_S >= job.spec.accelerator_count() * wait_s {
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

    fn cheapest_plan(&self, job: &JobEntry, starved: bool) -> Option<MovePlan<'a>> {
        let domains = self.table.cluster.emptiest_domains(job.spec.shape.adjacency);
        let plan = |workers: &Vec<WorkerIndex>| self.plan_domain(job, workers, starved);
        let mut plans: Vec<MovePlan<'a>> = domains.iter().filter_map(plan).collect();
        plans.sort_by_key(|plan| plan.moved_accelerator_count);
        // The search for new placements is expensive, so only the two cheapest plans get it.
        plans.into_iter().take(2).find(|plan| starved || self.fits_elsewhere(plan))
    }

    /// Plans the cheapest moves that free enough slots on `workers`.
    fn plan_domain(
        &self,
        job: &JobEntry,
        workers: &[WorkerIndex],
        starved: bool,
    ) -> Option<MovePlan<'a>> {
        let starved_job = starved.then_some(job);
        let task = &job.spec.shape.task;
        let mut offers: Vec<Offer<'a>> =
            workers.iter().filter_map(|worker| self.offer(*worker, starved_job)).collect();
        let slots = |offer: &Offer<'a>| slot_count(&offer.free, task);
        let mut plan = MovePlan {
            workers: FastHashSet::default(),
            moved: Vec::new(),
            moved_accelerator_count: 0,
        };
        let mut total: u32 = offers.iter().map(slots).sum();
        while total < job.spec.shape.task_count {
            // Selects the worker where one more slot costs the fewest moved accelerators.
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
            let limit = if starved { MAX_PREEMPTED_JOBS } else { MAX_MOVED_JOBS };
            if plan.moved.len() > limit {
                return None;
            }
            plan.moved_accelerator_count += cost;
            total += slots(offer) - before;
        }
        plan.workers = offers.iter().filter(|o| slots(o) > 0).map(|o| o.worker).collect();
        (!plan.moved.is_empty()).then_some(plan)
    }

    /// Returns `true` if every moved job fits outside the planned workers now.
    fn fits_elsewhere(&self, plan: &MovePlan<'a>) -> bool {
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

    /// Moves the job whose move gains the most usable accelerators, so that gangs find capacity
    /// when they arrive.
    pub(crate) fn consolidate(&mut self, scheduler: &mut Scheduler) {
        if scheduler.defragmented_at + CONSOLIDATION_INTERVAL > self.now {
            return;
        }
        scheduler.defragmented_at = self.now;
        let length = self.table.active.len().max(1);
        let start = scheduler.consolidation_cursor % length;
        scheduler.consolidation_cursor = start + MAX_CONSOLIDATION_CANDIDATES;
        let active = || self.table.active.iter();
        let window =
            active().skip(start).chain(active().take(start)).take(MAX_CONSOLIDATION_CANDIDATES);
        let mut gains: Vec<(f64, &'a JobName)> =
            window.filter_map(|name| Some((self.move_gain(name)?, name))).collect();
        gains.sort_by(|left, right| right.0.total_cmp(&left.0));
        if let Some((_, name)) = gains.first() {
            self.move_attempt(name);
        }
    }

    /// Returns the net benefit of moving the job to its best other worker, if it is positive.
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
        let benefit = policy.fragmentation_weight * usable * remaining_s as f64;
        let cost = policy.completion_weight * (job.spec.accelerator_count() * MOVE_COST_S) as f64;
        (usable >= MIN_GAIN_ACCELERATORS && benefit > cost).then_some(benefit - cost)
    }
}

/// Minimum time between a search for moves and a search on behalf of a waiting job.
const MOVE_SEARCH_INTERVAL: DurationMs = DurationMs::from_seconds(5);

/// Returns how many movable jobs must leave the worker for one more slot, and their accelerators.
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
