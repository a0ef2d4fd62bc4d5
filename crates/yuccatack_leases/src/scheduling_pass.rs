//! Decisions of the leader: losses, deadlines, starts and placements.

use yuccatack_core::prelude::*;
use yuccatack_placement::{
    AllocationKind, Assignment, DemandProfile, Overlay, Placement, Request, Reservation, Weights,
    WorkerIndex, best_fit, first_fit, place,
};

use crate::demand::{demand_weight, profile};
use crate::job::{AttemptPhase, JobEntry};
use crate::message::{BeginAttempt, Claim, LeaseCommand, StopReason, WorkerTasks};
use crate::reservation::{
    BACKFILL_QUANTILE, DEFRAGMENTATION_THRESHOLD, STARVATION_THRESHOLD, StarvedJob,
};
use crate::scheduler::Scheduler;
use crate::table::{GuaranteeEntry, LeaseTable};

/// Maximum number of decisions of one scheduling pass. Decisions take effect only once they are
/// logged; the bound keeps the overlay small and lets urgent jobs that arrive meanwhile go first in
/// the next pass.
const MAX_DECISIONS: usize = 64;
/// Factor applied to the recorded demand at each placement; the weight of a placement halves after
/// about 350 further ones.
const DEMAND_DECAY: f64 = 0.998;
/// Weight below which a shape is removed from the recorded demand.
const MIN_DEMAND_WEIGHT: f64 = 0.5;
/// Maximum number of jobs of one queue that are considered in one scheduling pass.
pub(crate) const MAX_SCANNED_JOBS: usize = 128;
/// Maximum number of placement searches of one scheduling pass, successful or not.
const MAX_SEARCHES: usize = 256;
/// Waiting time after which a batch job is treated as a standard one.
const BATCH_AGING_THRESHOLD: DurationMs = DurationMs::from_seconds(30 * 60);

/// Placement strategy for waiting jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// Priority classes, fair share, claims, backfill and the weighted score.
    #[default]
    Policy,
    /// Baseline: in order of arrival, on the first domain with enough capacity.
    FirstFit,
    /// Baseline: in order of arrival, on the workers with the fewest free accelerators.
    BestFit,
}

impl Scheduler {
    /// Sets the placement strategy; the baselines are for comparison only.
    pub fn with_strategy(mut self, strategy: Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Returns the commands that the leader proposes at `now`. Call it again once they are applied,
    /// after each change of the table, and at [`Scheduler::next_deadline`].
    pub fn schedule(&mut self, table: &LeaseTable, now: TimestampMs) -> Vec<LeaseCommand> {
        let mut commands = self.expire_workers(table, now);
        commands.extend(stop_overdue_attempts(table, now));
        commands.extend(self.start_ready_attempts(table, now));
        let mut pass = SchedulingPass::new(table, now, &self.demand);
        pass.run(self);
        for command in &pass.commands {
            if let LeaseCommand::BeginAttempt(begin) = command
                && let Some(job) = table.jobs.get(&begin.job)
            {
                self.record_demand(&job.spec.shape);
            }
        }
        commands.extend(pass.commands);
        commands
    }

    /// Returns the share of free accelerators that cannot serve the shapes in demand, from 0 to 1.
    pub fn fragmentation(&self, table: &LeaseTable) -> f64 {
        yuccatack_placement::fragmentation(&table.cluster, &profile(table, &self.demand))
    }

    /// Adds a placed shape to the recorded demand; shapes that are no longer placed decay.
    fn record_demand(&mut self, shape: &Shape) {
        let weight = demand_weight(shape);
        for (_, known) in &mut self.demand {
            *known *= DEMAND_DECAY;
        }
        match self.demand.iter_mut().find(|(known, _)| known == shape) {
            Some((_, known)) => *known += weight,
            None => self.demand.push((*shape, weight)),
        }
        self.demand.retain(|(_, known)| *known > MIN_DEMAND_WEIGHT);
    }

    fn start_ready_attempts(&self, table: &LeaseTable, now: TimestampMs) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        for name in &table.ready {
            let Some(attempt) = table.jobs.get(name).and_then(JobEntry::attempt) else { continue };
            let live = |worker: WorkerIndex| {
                table.worker_name(worker).is_some_and(|name| self.has_lease(&name, now))
            };
            // A gang with a worker that holds no lease would start only in part.
            if attempt.tasks.iter().all(|slot| live(slot.worker)) {
                let (job, epoch) = (name.clone(), attempt.epoch);
                commands.push(LeaseCommand::StartAttempt { job, epoch, at: now });
            }
        }
        commands
    }
}

fn stop_overdue_attempts(table: &LeaseTable, now: TimestampMs) -> Vec<LeaseCommand> {
    let mut commands = Vec::new();
    for (deadline, job) in &table.deadlines {
        if *deadline > now {
            break;
        }
        let Some(attempt) = table.jobs.get(job).and_then(JobEntry::attempt) else { continue };
        let reason = match attempt.phase {
            AttemptPhase::Checkpointing(_) => StopReason::CheckpointOverdue,
            _ => StopReason::PrepareOverdue,
        };
        let (job, epoch) = (job.clone(), attempt.epoch);
        commands.push(LeaseCommand::StopAttempt { job, epoch, reason, at: now });
    }
    commands
}

/// One scheduling pass, over an overlay of the decisions made so far.
pub(crate) struct SchedulingPass<'a> {
    pub(crate) table: &'a LeaseTable,
    pub(crate) now: TimestampMs,
    pub(crate) overlay: Overlay<'a>,
    pub(crate) guarantees: FastHashMap<&'a OrganisationName, Vec<&'a GuaranteeEntry>>,
    pub(crate) claimed: FastHashSet<(&'a RecordName, u32)>,
    pub(crate) decided_accelerator_counts: FastHashMap<&'a OrganisationName, u64>,
    pub(crate) failed_searches: FastHashSet<(Shape, bool, bool)>,
    pub(crate) profile: DemandProfile,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) search_count: usize,
    pub(crate) decided: FastHashSet<&'a JobName>,
    pub(crate) commands: Vec<LeaseCommand>,
}

type FindPlace = fn(&Overlay<'_>, &Shape) -> Option<Placement>;

struct Queue<'a> {
    organisation: &'a OrganisationName,
    jobs: Vec<&'a JobName>,
    next: usize,
}

impl<'a> SchedulingPass<'a> {
    fn new(table: &'a LeaseTable, now: TimestampMs, demand: &[(Shape, f64)]) -> Self {
        let mut guarantees: FastHashMap<_, Vec<&GuaranteeEntry>> = FastHashMap::default();
        for entry in table.guarantees.values() {
            guarantees.entry(&entry.spec.organisation).or_default().push(entry);
        }
        Self {
            table,
            now,
            overlay: Overlay::new(&table.cluster),
            guarantees,
            claimed: FastHashSet::default(),
            decided_accelerator_counts: FastHashMap::default(),
            failed_searches: FastHashSet::default(),
            profile: profile(table, demand),
            reservation: None,
            search_count: 0,
            decided: FastHashSet::default(),
            commands: Vec::new(),
        }
    }

    fn run(&mut self, scheduler: &mut Scheduler) {
        self.probe_quarantined();
        let find = match scheduler.strategy {
            Strategy::Policy => None,
            Strategy::FirstFit => Some(first_fit as FindPlace),
            Strategy::BestFit => Some(best_fit as FindPlace),
        };
        if let Some(find) = find {
            self.place_in_arrival_order(find);
            return;
        }
        if self.table.waiting.is_empty() {
            scheduler.starved = None;
        } else {
            self.place_class(PriorityClass::Urgent);
            self.place_starved(scheduler);
            self.place_class(PriorityClass::Standard);
            self.place_class(PriorityClass::Batch);
        }
        if scheduler.starved.is_none() && self.commands.is_empty() {
            self.consolidate(scheduler);
        }
    }

    /// Places every waiting job that fits, oldest first, as the baselines do.
    fn place_in_arrival_order(&mut self, find: FindPlace) {
        let table = self.table;
        let mut jobs: Vec<&'a (TimestampMs, JobName)> = table
            .waiting
            .values()
            .flat_map(|waiting| PriorityClass::ALL.iter().flat_map(|class| waiting.class(*class)))
            .collect();
        jobs.sort();
        for (_, name) in jobs {
            let Some(job) = table.jobs.get(name) else { continue };
            if self.decided.contains(name) || !job.may_restart() || !self.within_quota(job) {
                continue;
            }
            let key = (job.spec.shape, false, false);
            if self.commands.len() >= MAX_DECISIONS || self.failed_searches.contains(&key) {
                continue;
            }
            match find(&self.overlay, &job.spec.shape) {
                Some(placement) => self.decide(name, job, placement.assignments, None),
                None => drop(self.failed_searches.insert(key)),
            }
        }
    }

    fn is_full(&self) -> bool {
        self.commands.len() >= MAX_DECISIONS || self.search_count >= MAX_SEARCHES
    }

    /// Returns the waiting jobs that count as `class` after aging, oldest first.
    fn queue(&self, organisation: &OrganisationName, class: PriorityClass) -> Vec<&'a JobName> {
        let Some(waiting) = self.table.waiting.get(organisation) else { return Vec::new() };
        let aged = |at: TimestampMs| self.now.since(at) >= BATCH_AGING_THRESHOLD;
        let own = waiting.class(class);
        let jobs: Vec<&(TimestampMs, JobName)> = match class {
            PriorityClass::Urgent => own.take(MAX_SCANNED_JOBS).collect(),
            PriorityClass::Standard => {
                let old = waiting.class(PriorityClass::Batch).take_while(|(at, _)| aged(*at));
                let mut jobs: Vec<_> =
                    old.take(MAX_SCANNED_JOBS).chain(own.take(MAX_SCANNED_JOBS)).collect();
                jobs.sort();
                jobs
            }
            PriorityClass::Batch => {
                own.skip_while(|(at, _)| aged(*at)).take(MAX_SCANNED_JOBS).collect()
            }
        };
        jobs.into_iter().map(|(_, job)| job).collect()
    }

    /// Places the jobs of one class; the organisation with the smallest weighted share goes first.
    fn place_class(&mut self, class: PriorityClass) {
        let table = self.table;
        let mut queues: Vec<Queue<'a>> = table
            .waiting
            .keys()
            .map(|organisation| Queue {
                organisation,
                jobs: self.queue(organisation, class),
                next: 0,
            })
            .filter(|queue| !queue.jobs.is_empty())
            .collect();
        while !self.is_full() {
            let share = |queue: &Queue<'a>| self.share(queue.organisation);
            let next_queue = queues
                .iter()
                .enumerate()
                .filter(|(_, queue)| queue.next < queue.jobs.len())
                .min_by(|(_, left), (_, right)| share(left).total_cmp(&share(right)))
                .map(|(position, _)| position);
            let Some(position) = next_queue else { break };
            let queue = &mut queues[position];
            let job = queue.jobs[queue.next];
            queue.next += 1;
            self.try_place(job);
        }
    }

    fn held_count(&self, organisation: &OrganisationName) -> u64 {
        let table = self.table.organisations.get(organisation);
        let decided =
            self.decided_accelerator_counts.get(organisation).copied().unwrap_or_default();
        decided + table.map_or(0, |entry| entry.held_accelerator_count)
    }

    fn share(&self, organisation: &OrganisationName) -> f64 {
        let quota = self.table.organisations.get(organisation).and_then(|entry| {
            let quota = entry.quota.as_ref()?;
            Some(quota.fair_share_weight.max(1))
        });
        self.held_count(organisation) as f64 / f64::from(quota.unwrap_or(1))
    }

    pub(crate) fn within_quota(&self, job: &JobEntry) -> bool {
        let held = self.held_count(&job.spec.organisation) + job.spec.accelerator_count();
        self.table.quota_of(&job.spec.organisation).is_none_or(|quota| held <= u64::from(quota))
    }

    /// Places the oldest waiting job that is not urgent and within its quota, or frees or reserves
    /// capacity for it. The oldest job is the head of a queue, so only heads are considered.
    fn place_starved(&mut self, scheduler: &mut Scheduler) {
        let table = self.table;
        let classes = [PriorityClass::Standard, PriorityClass::Batch];
        let oldest = table
            .waiting
            .values()
            .flat_map(|waiting| classes.iter().filter_map(|class| waiting.class(*class).next()))
            .filter(|(at, _)| self.now.since(*at) >= DEFRAGMENTATION_THRESHOLD)
            .filter(|(_, job)| table.jobs.get(job).is_some_and(|job| self.within_quota(job)))
            .min();
        let Some((at, job)) = oldest else {
            scheduler.starved = None;
            return;
        };
        if self.try_place(job) {
            scheduler.starved = None;
            return;
        }
        let starved = self.now.since(*at) >= STARVATION_THRESHOLD;
        if self.may_search_moves(scheduler) {
            // Both searches visit many tasks, so they run at most once in an interval.
            let candidate = StarvedJob::new(table, job, self.now);
            if !self.free_capacity_for(scheduler, job, starved, candidate.as_ref()) {
                scheduler.starved = candidate.filter(|_| starved);
            }
        } else if scheduler.starved.as_ref().is_some_and(|former| former.job != *job) {
            scheduler.starved = None;
        }
        self.reservation = scheduler.starved.as_ref().map(|holder| holder.reservation.clone());
        // The search above ran without the reservation, and cached failures depend on it.
        self.failed_searches.clear();
    }

    fn try_place(&mut self, name: &'a JobName) -> bool {
        let table = self.table;
        let Some(job) = table.jobs.get(name) else { return false };
        if self.is_full()
            || self.decided.contains(name)
            || !job.may_restart()
            || !self.within_quota(job)
        {
            return false;
        }
        let excluded: Vec<WorkerIndex> = job
            .failed_on
            .iter()
            .filter_map(|(worker, _)| table.cluster.worker_index(worker))
            .collect();
        if let Some((placement, claim)) = self.claim_without_reclaim(job) {
            self.decide(name, job, placement, Some(claim));
            return true;
        }
        if let Some(placement) = self.place_unclaimed(job, &excluded) {
            self.decide(name, job, placement.assignments, None);
            return true;
        }
        if let Some((placement, claim)) = self.claim_with_reclaim(job) {
            self.decide(name, job, placement, Some(claim));
            return true;
        }
        false
    }

    pub(crate) fn request<'b>(
        &'b self,
        job: &JobEntry,
        excluded: &'b [WorkerIndex],
    ) -> Request<'b> {
        let policy = &self.table.policy;
        let reclaimable = job.spec.is_reclaimable();
        Request {
            shape: job.spec.shape,
            data_centres: &[],
            allocation_kind: if reclaimable {
                AllocationKind::Borrowed
            } else {
                AllocationKind::Firm
            },
            excluded,
            reservation: self
                .reservation
                .as_ref()
                .filter(|_| job.spec.class != PriorityClass::Urgent),
            expected_end: self.now + self.table.expected_run_time(job, BACKFILL_QUANTILE),
            preemptible: job.spec.checkpointable,
            profile: &self.profile,
            weights: Weights {
                completion: policy.completion_weight,
                fragmentation: policy.fragmentation_weight,
            },
        }
    }

    fn place_unclaimed(&mut self, job: &JobEntry, excluded: &[WorkerIndex]) -> Option<Placement> {
        let request = self.request(job, excluded);
        let excluded_by_reservation = request.reservation.is_some_and(|reservation| {
            reservation.excludes(request.expected_end, request.preemptible)
        });
        let key = (
            request.shape,
            request.allocation_kind == AllocationKind::Firm,
            excluded_by_reservation,
        );
        if self.failed_searches.contains(&key) {
            return None;
        }
        let found = place(&self.overlay, &request);
        self.search_count += 1;
        if found.is_none() && excluded.is_empty() {
            self.failed_searches.insert(key);
        }
        found
    }

    pub(crate) fn with_worker_names<Parts>(&self, parts: Parts) -> Vec<WorkerTasks>
    where
        Parts: Iterator<Item = (WorkerIndex, u32)>,
    {
        parts
            .filter_map(|(worker, task_count)| {
                Some(WorkerTasks { worker: self.table.worker_name(worker)?, task_count })
            })
            .collect()
    }

    pub(crate) fn decide(
        &mut self,
        name: &'a JobName,
        job: &'a JobEntry,
        parts: Vec<Assignment>,
        claim: Option<Claim>,
    ) {
        self.decided.insert(name);
        let firm = claim.is_none() && !job.spec.is_reclaimable();
        for part in &parts {
            if let Some(amount) = job.spec.shape.task.checked_mul(part.task_count) {
                self.overlay.allocate(part.worker, &amount, firm);
            }
        }
        if let Some(claim) = &claim
            && let Some((guarantee, entry)) = self.table.guarantees.get_key_value(&claim.guarantee)
        {
            self.claimed.insert((guarantee, claim.instance));
            let task = entry.spec.shape.task;
            // A moved binding counts as firm on its new workers. The old workers stay reserved
            // until the end of this pass, which is conservative.
            for part in &claim.binding {
                let worker = self.table.cluster.worker_index(&part.worker);
                if let Some((worker, amount)) = worker.zip(task.checked_mul(part.task_count)) {
                    self.overlay.allocate(worker, &amount, true);
                    self.overlay.release(worker, &amount, false);
                }
            }
        }
        *self.decided_accelerator_counts.entry(&job.spec.organisation).or_default() +=
            job.spec.accelerator_count();
        let assignments =
            self.with_worker_names(parts.iter().map(|part| (part.worker, part.task_count)));
        self.commands.push(LeaseCommand::BeginAttempt(BeginAttempt {
            job: name.clone(),
            epoch: job.last_epoch.next(),
            assignments,
            claim,
            at: self.now,
        }));
    }
}
