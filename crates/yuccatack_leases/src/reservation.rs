//! Capacity reservation for the oldest starved job.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Reservation, WorkerIndex, slot_count};

use crate::job::JobEntry;
use crate::table::LeaseTable;

/// Waiting time after which the oldest job within its quota gets a reservation.
pub(crate) const STARVATION_THRESHOLD: DurationMs = DurationMs::from_seconds(120);
/// Waiting time after which other jobs are moved if that frees capacity for the oldest job.
pub(crate) const DEFRAGMENTATION_THRESHOLD: DurationMs = DurationMs::from_seconds(5);
/// Probability with which a backfilled job must be expected to end before the reservation starts;
/// run times are estimated at this quantile.
pub(crate) const BACKFILL_QUANTILE: f32 = 0.8;

/// Job that others may not delay, with the capacity reserved for it.
#[derive(Clone, Debug)]
pub(crate) struct StarvedJob {
    pub(crate) job: JobName,
    pub(crate) reservation: Reservation,
}

impl StarvedJob {
    pub(crate) fn new(table: &LeaseTable, job: &JobName, now: TimestampMs) -> Option<Self> {
        let reservation = reserve(table, table.jobs.get(job)?, now)?;
        Some(Self { job: job.clone(), reservation })
    }

    pub(crate) fn with_reservation(job: &JobName, reservation: Reservation) -> Self {
        Self { job: job.clone(), reservation }
    }
}

impl LeaseTable {
    /// Returns the remaining run time of a job, corrected by the run times of earlier jobs of its
    /// organisation.
    pub(crate) fn expected_run_time(&self, job: &JobEntry, quantile: f32) -> DurationMs {
        let declared = DurationMs::from_seconds(job.spec.declared_run_time_s);
        let estimate = self.organisations.get(&job.spec.organisation).map(|entry| &entry.estimate);
        let total = estimate.map_or(declared, |estimate| estimate.corrected(declared, quantile));
        DurationMs::new(total.get().saturating_sub(job.saved_run_time_ms))
    }

    /// Returns the time at which the attempt of the job is expected to end. A job that overran its
    /// expectation is assumed to need another fifth of its run time so far, plus one second.
    pub(crate) fn expected_end(&self, job: &JobEntry, now: TimestampMs) -> TimestampMs {
        let start = job.attempt().and_then(|attempt| attempt.started_at).unwrap_or(now);
        let end = start + self.expected_run_time(job, BACKFILL_QUANTILE);
        if end > now { end } else { now + DurationMs::new(now.since(start).get() / 5 + 1_000) }
    }
}

/// Reserves the domain in which the gang of the job is expected to fit first.
fn reserve(table: &LeaseTable, job: &JobEntry, now: TimestampMs) -> Option<Reservation> {
    let shape = &job.spec.shape;
    table
        .cluster
        .emptiest_domains(shape.adjacency)
        .iter()
        .filter_map(|workers| reserve_domain(table, shape, workers, now))
        .min_by_key(|reservation| reservation.start_at)
}

fn reserve_domain(
    table: &LeaseTable,
    shape: &Shape,
    workers: &[WorkerIndex],
    now: TimestampMs,
) -> Option<Reservation> {
    let mut free: FastHashMap<WorkerIndex, Resources> = FastHashMap::default();
    let mut expected_ends: Vec<(TimestampMs, WorkerIndex, Resources)> = Vec::new();
    let mut slots = 0;
    for worker in workers {
        let capacity = table.cluster.worker(*worker)?;
        free.insert(*worker, capacity.free());
        slots += slot_count(&capacity.free(), &shape.task);
        let Some(entry) = table.worker_at(*worker) else { continue };
        for (_, job) in table.tasks_on(entry) {
            expected_ends.push((table.expected_end(job, now), *worker, job.spec.shape.task));
        }
    }
    expected_ends.sort_by_key(|(end, worker, _)| (*end, *worker));
    let mut start_at = now;
    for (end, worker, amount) in expected_ends {
        if slots >= shape.task_count {
            break;
        }
        let slot = free.get_mut(&worker)?;
        let before = slot_count(slot, &shape.task);
        *slot = slot.checked_add(&amount)?;
        slots += slot_count(slot, &shape.task) - before;
        start_at = end;
    }
    if slots < shape.task_count {
        return None;
    }
    let mut offers: Vec<(u32, WorkerIndex)> = free
        .iter()
        .map(|(worker, amount)| (slot_count(amount, &shape.task), *worker))
        .filter(|(slots, _)| *slots > 0)
        .collect();
    offers.sort_by_key(|(slots, worker)| (std::cmp::Reverse(*slots), *worker));
    let mut missing = shape.task_count;
    let mut chosen = FastHashSet::default();
    for (slots, worker) in offers {
        chosen.insert(worker);
        missing = missing.saturating_sub(slots);
        if missing == 0 {
            break;
        }
    }
    Some(Reservation { workers: chosen, start_at, exclusive: false })
}
