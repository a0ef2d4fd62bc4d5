//! Selection of workers for a gang.

use yuccatack_core::prelude::*;

use crate::cluster::{DataCentreIndex, WorkerIndex};
use crate::domain::FreeCapacityIndex;
use crate::fragmentation::{DemandProfile, growth};
use crate::overlay::Overlay;
use crate::slot_count;

/// Tasks of a gang that are assigned to one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Index of the worker in the cluster.
    pub worker: WorkerIndex,
    /// Number of tasks on the worker.
    pub task_count: u32,
}

/// Assignment of all tasks of a gang to workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Assignments per worker; the tasks of the gang are numbered in this order.
    pub assignments: Vec<Assignment>,
    /// Weighted cost of the placement; lower is better.
    pub score: f64,
}

/// Reclaimability of the capacity that is allocated to an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationKind {
    /// Capacity that may be reclaimed, so that it may include capacity reserved for guarantees.
    Borrowed,
    /// Capacity that is held until the attempt ends, so that it excludes capacity reserved for
    /// guarantees.
    Firm,
}

/// Capacity that is reserved for a starved job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservation {
    /// Workers that the job is expected to use.
    pub workers: FastHashSet<WorkerIndex>,
    /// Expected time at which the workers are free.
    pub start_at: TimestampMs,
    /// `true` if no other job may use the workers, because they are being vacated for the job.
    pub exclusive: bool,
}

impl Reservation {
    /// Returns `true` if a job with this expected end must not use the reserved workers.
    pub fn excludes(&self, expected_end: TimestampMs, preemptible: bool) -> bool {
        self.exclusive || (!preemptible && expected_end > self.start_at)
    }
}

/// Weights of the components of a score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Cost per second of expected delay.
    pub completion: f64,
    /// Cost per free accelerator that becomes unusable.
    pub fragmentation: f64,
}

/// Placement request for a gang.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Resources and adjacency of the gang.
    pub shape: Shape,
    /// Permitted data centres; empty permits all.
    pub data_centres: &'a [DataCentreIndex],
    /// Reclaimability of the allocated capacity.
    pub allocation_kind: AllocationKind,
    /// Workers that must not be used, because the job has failed on them.
    pub excluded: &'a [WorkerIndex],
    /// Capacity that is reserved for another job.
    pub reservation: Option<&'a Reservation>,
    /// Expected end of the job if it starts now.
    pub expected_end: TimestampMs,
    /// `true` if the job can be checkpointed and preempted in favour of the reserving job.
    pub preemptible: bool,
    /// Demanded shapes for which free capacity should remain usable.
    pub profile: &'a DemandProfile,
    /// Weights of the score that `place` minimizes.
    pub weights: Weights,
}

/// Maximum number of workers of a data centre compared for a gang that fits on one worker.
/// Candidates are visited in best-fit order, so that later ones rarely win.
const MAX_WORKER_CANDIDATE_COUNT: usize = 8;
/// Cost per free accelerator in a chosen rack, in unusable accelerators. A free rack of 64
/// accelerators must weigh less than one unusable accelerator.
const RACK_BIAS_PER_ACCELERATOR: f64 = 0.01;
/// Maximum number of racks of a data centre compared for one gang. Racks are visited in best-fit
/// order, so that later ones rarely win.
const MAX_RACK_CANDIDATE_COUNT: usize = 12;

/// Returns the placement with the lowest score among the candidates, or `None` if the whole gang
/// does not fit now.
pub fn place(overlay: &Overlay<'_>, request: &Request<'_>) -> Option<Placement> {
    let mut best: Option<Placement> = None;
    let mut consider = |assignments: Option<Vec<Assignment>>| {
        let Some(assignments) = assignments else { return false };
        let fragmentation_growth =
            growth(overlay, request.profile, &request.shape.task, &assignments);
        let score = request.weights.fragmentation
            * (fragmentation_growth + rack_bias(overlay, &assignments));
        if best.as_ref().is_none_or(|found| score < found.score) {
            best = Some(Placement { assignments, score });
        }
        true
    };
    for data_centre in 0..overlay.cluster().data_centre_count() {
        let allowed =
            request.data_centres.is_empty() || request.data_centres.contains(&data_centre);
        if !allowed {
            continue;
        }
        let domain = &overlay.cluster().data_centres[data_centre as usize];
        match request.shape.adjacency {
            Adjacency::Worker => {
                let task_count = request.shape.task_count;
                single_workers(overlay, request, &domain.index)
                    .filter(|worker| {
                        consider(Some(vec![Assignment { worker: *worker, task_count }]))
                    })
                    .take(MAX_WORKER_CANDIDATE_COUNT)
                    .for_each(drop);
            }
            Adjacency::DataCentre => {
                consider(fill(overlay, request, &domain.index));
            }
            Adjacency::Rack => {
                let needed = u64::from(request.shape.task_count)
                    * u64::from(request.shape.task.accelerator_count);
                domain
                    .racks_by_free
                    .range(needed..)
                    .flat_map(|(_, racks)| racks)
                    .filter(|rack| {
                        let index = &overlay.cluster().racks[**rack as usize].index;
                        consider(fill(overlay, request, index))
                    })
                    .take(MAX_RACK_CANDIDATE_COUNT)
                    .for_each(drop);
            }
        }
    }
    best
}

/// Returns the number of tasks of the request that fit on a worker now.
fn slots_on(overlay: &Overlay<'_>, request: &Request<'_>, worker: WorkerIndex) -> u32 {
    if request.excluded.contains(&worker) {
        return 0;
    }
    let reserved = request.reservation.is_some_and(|reservation| {
        reservation.excludes(request.expected_end, request.preemptible)
            && reservation.workers.contains(&worker)
    });
    if reserved {
        return 0;
    }
    let slots = slot_count(&overlay.free(worker), &request.shape.task);
    match request.allocation_kind {
        AllocationKind::Borrowed => slots,
        AllocationKind::Firm => {
            slots.min(slot_count(&overlay.firm_headroom(worker), &request.shape.task))
        }
    }
}

/// Iterates over workers that can hold the whole gang, those with the fewest free accelerators
/// first.
fn single_workers<'a>(
    overlay: &'a Overlay<'_>,
    request: &'a Request<'_>,
    index: &'a FreeCapacityIndex,
) -> impl Iterator<Item = WorkerIndex> + 'a {
    let gang_resources = request.shape.task.checked_mul(request.shape.task_count);
    let workers = gang_resources.map(|resources| index.candidates(&resources));
    workers
        .into_iter()
        .flatten()
        .filter(|worker| slots_on(overlay, request, *worker) >= request.shape.task_count)
}

/// Returns a small cost for free accelerators in the chosen racks. Among placements of equal score,
/// fuller racks are then preferred, which leaves whole racks free.
fn rack_bias(overlay: &Overlay<'_>, assignments: &[Assignment]) -> f64 {
    let cluster = overlay.cluster();
    let free = assignments.iter().filter_map(|assignment| {
        let rack = cluster.worker(assignment.worker)?.rack;
        Some(cluster.racks[rack as usize].index.free_accelerator_count())
    });
    RACK_BIAS_PER_ACCELERATOR * free.sum::<u64>() as f64 / assignments.len().max(1) as f64
}

fn fill(
    overlay: &Overlay<'_>,
    request: &Request<'_>,
    index: &FreeCapacityIndex,
) -> Option<Vec<Assignment>> {
    let mut unassigned_count = request.shape.task_count;
    if index.accelerator_slots(request.shape.task.accelerator_count) < u64::from(unassigned_count) {
        return None;
    }
    let mut assignments = Vec::new();
    for worker in index.candidates(&request.shape.task) {
        let task_count = slots_on(overlay, request, worker).min(unassigned_count);
        if task_count == 0 {
            continue;
        }
        assignments.push(Assignment { worker, task_count });
        unassigned_count -= task_count;
        if unassigned_count == 0 {
            return Some(assignments);
        }
    }
    None
}
