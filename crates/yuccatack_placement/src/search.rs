//! The choice of workers for a gang.

use yuccatack_core::prelude::*;

use crate::cluster::{DataCentreIndex, WorkerIndex};
use crate::domain::FreeIndex;
use crate::fragmentation::{DemandProfile, growth};
use crate::overlay::Overlay;
use crate::slot_count;

/// Some tasks of a gang on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// The worker.
    pub worker: WorkerIndex,
    /// How many tasks run there.
    pub task_count: u32,
}

/// A place for a whole gang.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Which workers run how many tasks; the tasks are numbered in this order.
    pub assignments: Vec<Assignment>,
    /// The weighted cost; lower is better.
    pub score: f64,
}

/// How an attempt holds its capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationKind {
    /// May be reclaimed, so it may use capacity that is set aside for guarantees.
    Borrowed,
    /// Keeps its capacity to the end, so it stays off what is set aside for guarantees.
    Firm,
}

/// Capacity that a starved job waits for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservation {
    /// The workers it is expected to use.
    pub workers: FastHashSet<WorkerIndex>,
    /// When they are expected to be free.
    pub start_at: TimestampMs,
    /// Whether nobody else may use them, because they are being freed for the job right now.
    pub exclusive: bool,
}

impl Reservation {
    /// Whether a job must stay off the reserved workers.
    pub fn excludes(&self, expected_end: TimestampMs, preemptible: bool) -> bool {
        self.exclusive || (!preemptible && expected_end > self.start_at)
    }
}

/// The weights of the two parts of a score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// For each second of expected delay.
    pub completion: f64,
    /// For each free accelerator that becomes unusable.
    pub fragmentation: f64,
}

/// What to place.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The gang.
    pub shape: Shape,
    /// Where it may run; empty means anywhere.
    pub data_centres: &'a [DataCentreIndex],
    /// How it holds its capacity.
    pub allocation_kind: AllocationKind,
    /// Workers that must not be used, because the job failed on them.
    pub excluded: &'a [WorkerIndex],
    /// Capacity that another job waits for.
    pub reservation: Option<&'a Reservation>,
    /// When the job is expected to end if it starts now.
    pub expected_end: TimestampMs,
    /// Whether the job can be checkpointed to give way to the holder of the reservation.
    pub preemptible: bool,
    /// The shapes that should remain servable.
    pub profile: &'a DemandProfile,
    /// The weights of the score.
    pub weights: Weights,
}

/// More single workers of one data centre than this are not compared, for the same reason.
const MAX_WORKER_CANDIDATES: usize = 8;
/// Small enough that a free rack of 64 accelerators weighs less than one unusable accelerator.
const RACK_BIAS: f64 = 0.01;
/// More racks than this are not compared for one gang; they are visited in best-fit order, so
/// that later ones rarely win.
const MAX_RACK_CANDIDATES: usize = 12;

/// Chooses the place with the lowest score, or nothing when the whole gang does not fit now.
pub fn place(overlay: &Overlay<'_>, request: &Request<'_>) -> Option<Placement> {
    let mut best: Option<Placement> = None;
    let mut offer = |assignments: Option<Vec<Assignment>>| {
        let Some(assignments) = assignments else { return false };
        let grown = growth(overlay, request.profile, &request.shape.task, &assignments);
        let score = request.weights.fragmentation * (grown + rack_bias(overlay, &assignments));
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
                    .filter(|worker| offer(Some(vec![Assignment { worker: *worker, task_count }])))
                    .take(MAX_WORKER_CANDIDATES)
                    .for_each(drop);
            }
            Adjacency::DataCentre => {
                offer(fill(overlay, request, &domain.index));
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
                        offer(fill(overlay, request, index))
                    })
                    .take(MAX_RACK_CANDIDATES)
                    .for_each(drop);
            }
        }
    }
    best
}

/// The tasks of the request that fit on a worker now.
fn slots_on(overlay: &Overlay<'_>, request: &Request<'_>, worker: WorkerIndex) -> u32 {
    if request.excluded.contains(&worker) {
        return 0;
    }
    let kept_free = request.reservation.is_some_and(|reservation| {
        reservation.excludes(request.expected_end, request.preemptible)
            && reservation.workers.contains(&worker)
    });
    if kept_free {
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

/// Single workers that hold the whole gang, those with the least free first.
fn single_workers<'a>(
    overlay: &'a Overlay<'_>,
    request: &'a Request<'_>,
    index: &'a FreeIndex,
) -> impl Iterator<Item = WorkerIndex> + 'a {
    let whole = request.shape.task.checked_mul(request.shape.task_count);
    let workers = whole.map(|whole| index.candidates(&whole));
    workers
        .into_iter()
        .flatten()
        .filter(|worker| slots_on(overlay, request, *worker) >= request.shape.task_count)
}

/// A small preference for racks that are fuller, so that equal places leave whole racks free.
fn rack_bias(overlay: &Overlay<'_>, assignments: &[Assignment]) -> f64 {
    let cluster = overlay.cluster();
    let free = assignments.iter().filter_map(|part| {
        let rack = cluster.worker(part.worker)?.rack;
        Some(cluster.racks[rack as usize].index.free_accelerator_count())
    });
    RACK_BIAS * free.sum::<u64>() as f64 / assignments.len().max(1) as f64
}

fn fill(
    overlay: &Overlay<'_>,
    request: &Request<'_>,
    index: &FreeIndex,
) -> Option<Vec<Assignment>> {
    let mut missing = request.shape.task_count;
    if index.accelerator_slots(request.shape.task.accelerator_count) < u64::from(missing) {
        return None;
    }
    let mut assignments = Vec::new();
    for worker in index.candidates(&request.shape.task) {
        let task_count = slots_on(overlay, request, worker).min(missing);
        if task_count == 0 {
            continue;
        }
        assignments.push(Assignment { worker, task_count });
        missing -= task_count;
        if missing == 0 {
            return Some(assignments);
        }
    }
    None
}
