//! Capacity that is kept free for urgent work, so that it begins without an eviction.
//!
//! An eviction takes up to the stop timeout, which is most of the slack that the objective of a
//! short urgent job leaves beyond its run time.

use std::cmp::Reverse;
use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_runs::JobTable;

use crate::capacity::WorkerSnapshot;
use crate::demand::TaskGroup;

/// Time constant of the moving average of urgent work; several times the length of an urgent task.
const AVERAGING_TIME_MS: f64 = 8_000.0;

/// Fraction of the average use by urgent work that is kept free. Urgent jobs hold their capacity
/// for a few seconds, so about this fraction of it is requested during one eviction.
const HEADROOM_RATIO: f64 = 0.4;

/// Time after which waiting jobs may use the headroom. While jobs wait longer than that, capacity is
/// short, and workers that are left idle for urgent jobs would only lengthen the queue of all others.
const MAX_HELD_BACK_MS: DurationMs = DurationMs::new(1_000);

/// Returns `true` if headroom may no longer delay the group.
pub(crate) fn has_waited_long(group: &TaskGroup<'_>) -> bool {
    group.waited_ms >= MAX_HELD_BACK_MS
}

/// Lets the groups that have waited longest use the headroom: those of the most urgent queue that
/// waits. Small tasks of less urgent queues would fill it first and leave wide gangs no room.
pub(crate) fn share_headroom(groups: &mut [TaskGroup<'_>]) {
    let waits =
        |group: &TaskGroup<'_>| !group.is_urgent() && has_waited_long(group) && !group.is_overdue();
    let priority = |group: &TaskGroup<'_>| group.job.submission.priority;
    let Some(first) = groups.iter().filter(|group| waits(group)).map(priority).min() else {
        return;
    };
    for group in groups {
        group.may_use_headroom |= waits(group) && priority(group) == first;
    }
}

/// Moving average of the accelerators used by urgent work.
#[derive(Debug, Default)]
pub(crate) struct Headroom {
    average_accelerators: f64,
    updated_at: TimestampMs,
}

impl Headroom {
    /// Adds the current use by urgent work to the average.
    pub fn update(&mut self, table: &JobTable, now: TimestampMs) {
        let urgent = table.open_runs().iter().filter(|(run, _)| {
            table.job(&run.task.job).is_some_and(|job| job.submission.priority == 0)
        });
        let used: f64 = urgent.map(|(_, open)| f64::from(open.demand.accelerator_count)).sum();
        let elapsed_ms = now.since(self.updated_at).get() as f64;
        let weight = (elapsed_ms / AVERAGING_TIME_MS).min(1.0);
        self.average_accelerators += weight * (used - self.average_accelerators);
        self.updated_at = now;
    }

    /// Holds workers for urgent work until the headroom is covered, the fastest ones first. Among these,
    /// racks with the most free accelerators come first, since most gangs need a single rack.
    pub fn reserve(&self, workers: &mut [WorkerSnapshot]) {
        let mut rack_free: FastHashMap<(usize, Option<Arc<str>>), u32> = FastHashMap::default();
        let may_be_held = |worker: &WorkerSnapshot| !worker.reserved && !worker.quarantined;
        for worker in workers.iter().filter(|worker| may_be_held(worker)) {
            let rack = (worker.speed_class, worker.rack.clone());
            *rack_free.entry(rack).or_default() += worker.free.accelerator_count;
        }
        let mut order: Vec<usize> =
            (0..workers.len()).filter(|index| may_be_held(&workers[*index])).collect();
        order.sort_by_key(|index| {
            let worker = &workers[*index];
            let rack_free = rack_free[&(worker.speed_class, worker.rack.clone())];
            (worker.speed_class, Reverse(rack_free), Reverse(worker.free.accelerator_count))
        });
        let mut remaining = self.average_accelerators * HEADROOM_RATIO;
        for index in order {
            if remaining < 1.0 {
                return;
            }
            workers[index].held_for_urgent = true;
            remaining -= f64::from(workers[index].free.accelerator_count);
        }
    }
}
