//! Minimum share of each priority, so that a shortage does not fall on the least urgent jobs alone.
//!
//! One part of the capacity of each service is divided equally among the less urgent priorities with
//! demand, another among all priorities in proportion to their demand. The order of the priorities
//! decides about the rest. Amounts are dominant shares: the largest fraction that a task takes of
//! any resource of its service's workers.

use yuccatack_core::{FastHashMap, FastHashSet, Resources, ServiceName};
use yuccatack_runs::{JobTable, RunId, StepSpec};

use crate::capacity::{WorkerSnapshot, add, footprint};
use crate::demand::{TaskGroup, Tier};
use crate::headroom::has_waited_long;

/// Fraction of the capacity that is divided equally, so that a queue with few jobs completes some.
const EQUAL_FRACTION: f64 = 0.1;

/// Fraction of the capacity that is divided in proportion to the demand.
const PROPORTIONAL_FRACTION: f64 = 0.4;

/// Demand and use of one priority of a service, as fractions of the service's capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    demand_fraction: f64,
    used_fraction: f64,
    minimum_fraction: f64,
}

/// Minimum shares of all priorities, for one scheduling pass.
#[derive(Debug)]
pub(crate) struct MinimumShares {
    capacities: FastHashMap<ServiceName, Resources>,
    shares: FastHashMap<ServiceName, FastHashMap<u32, Share>>,
}

impl MinimumShares {
    /// Divides the capacity of the workers by the demand of the waiting groups and the open runs.
    /// Runs in `stopping` count as demand only.
    pub fn new(
        groups: &[TaskGroup<'_>],
        workers: &[WorkerSnapshot],
        table: &JobTable,
        stopping: &FastHashSet<RunId>,
    ) -> Self {
        let mut capacities: FastHashMap<ServiceName, Resources> = FastHashMap::default();
        for worker in workers.iter().filter(|worker| !worker.quarantined) {
            let capacity = capacities.entry(worker.service.clone()).or_default();
            *capacity = add(*capacity, worker.total);
        }
        let mut shares = Self { capacities, shares: FastHashMap::default() };
        for run in table.open_runs().keys() {
            let Some(job) = table.job(&run.task.job) else { continue };
            let Some(spec) = job.step_spec(run.task.step) else { continue };
            let (service, priority) = (&job.submission.service, job.submission.priority);
            let fraction = shares.dominant_fraction(service, spec);
            let share = shares.entry(service, priority);
            share.demand_fraction += fraction;
            share.used_fraction += if stopping.contains(run) { 0.0 } else { fraction };
        }
        for group in groups.iter().filter(|group| !group.is_overdue()) {
            let fraction = shares.group_fraction(group);
            shares
                .entry(&group.job.submission.service, group.job.submission.priority)
                .demand_fraction += fraction;
        }
        for priorities in shares.shares.values_mut() {
            // A backlog beyond the whole capacity gives no further claim, so that a flood of one
            // priority does not take the share of the others.
            for share in priorities.values_mut() {
                share.demand_fraction = share.demand_fraction.min(1.0);
            }
            let total_demand: f64 = priorities.values().map(|share| share.demand_fraction).sum();
            let less_urgent_count = priorities.keys().filter(|priority| **priority > 0).count();
            let less_urgent = priorities.iter_mut().filter(|(priority, _)| **priority > 0);
            for (_, share) in less_urgent.filter(|(_, share)| share.demand_fraction > 0.0) {
                share.minimum_fraction = EQUAL_FRACTION / less_urgent_count as f64
                    + PROPORTIONAL_FRACTION * share.demand_fraction / total_demand;
            }
        }
        shares
    }

    /// Moves groups ahead of the order of priorities until their priority has its minimum share.
    pub fn promote(&self, groups: &mut [TaskGroup<'_>]) {
        let mut claimed: FastHashMap<(ServiceName, u32), f64> = FastHashMap::default();
        for group in groups.iter_mut() {
            let Tier::Priority(priority) = group.urgency.tier else { continue };
            let service = &group.job.submission.service;
            let share = self.share(service, priority);
            let used_fraction =
                claimed.entry((service.clone(), priority)).or_insert(share.used_fraction);
            if *used_fraction < share.minimum_fraction {
                *used_fraction += self.group_fraction(group);
                group.urgency.tier = Tier::MinimumShare(priority);
                group.may_use_headroom |= has_waited_long(group);
            }
        }
        groups.sort_by_key(|group| group.urgency);
    }

    /// Returns the fraction of the service's capacity that a priority gets while all want more: what
    /// more urgent priorities leave beside the minimum shares of the others, or its own minimum share.
    pub fn rate(&self, service: &ServiceName, priority: u32) -> f64 {
        let Some(priorities) = self.shares.get(service) else { return 1.0 };
        let claimed: f64 = priorities
            .iter()
            .filter(|(other, _)| **other != priority)
            .map(|(other, share)| {
                let minimum = share.minimum_fraction.min(share.demand_fraction);
                if *other < priority { share.used_fraction } else { minimum }
            })
            .sum();
        self.share(service, priority).minimum_fraction.max(1.0 - claimed)
    }

    /// Returns the fraction of the service's capacity that a priority uses beyond its minimum share.
    /// The most urgent priority has no minimum share; guarantees protect it instead.
    pub fn surplus_fraction(&self, service: &ServiceName, priority: u32) -> f64 {
        let share = self.share(service, priority);
        if priority == 0 { f64::INFINITY } else { share.used_fraction - share.minimum_fraction }
    }

    /// Counts the run as stopped.
    pub fn release(&mut self, run: &RunId, table: &JobTable) {
        let Some(job) = table.job(&run.task.job) else { return };
        let Some(spec) = job.step_spec(run.task.step) else { return };
        let service = &job.submission.service;
        let fraction = self.dominant_fraction(service, spec);
        self.entry(service, job.submission.priority).used_fraction -= fraction;
    }

    /// Returns the largest fraction that a task takes of any resource of the service's workers.
    pub fn dominant_fraction(&self, service: &ServiceName, spec: &StepSpec) -> f64 {
        let capacity = self.capacities.get(service).copied().unwrap_or_default();
        let need = footprint(spec);
        let fraction =
            |need: u64, total: u64| if total > 0 { need as f64 / total as f64 } else { 0.0 };
        fraction(need.cores_milli, capacity.cores_milli)
            .max(fraction(need.memory_bytes, capacity.memory_bytes))
            .max(fraction(u64::from(need.accelerator_count), u64::from(capacity.accelerator_count)))
    }

    fn group_fraction(&self, group: &TaskGroup<'_>) -> f64 {
        let fraction = self.dominant_fraction(&group.job.submission.service, group.spec);
        fraction * group.tasks.len() as f64
    }

    fn share(&self, service: &ServiceName, priority: u32) -> Share {
        let priorities = self.shares.get(service);
        priorities.and_then(|shares| shares.get(&priority)).copied().unwrap_or_default()
    }

    fn entry(&mut self, service: &ServiceName, priority: u32) -> &mut Share {
        self.shares.entry(service.clone()).or_default().entry(priority).or_default()
    }
}
