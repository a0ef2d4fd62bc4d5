//! Fragmentation: the share of free accelerators that cannot serve the demanded shapes.

use yuccatack_core::prelude::*;

use crate::cluster::{Cluster, WorkerIndex};
use crate::overlay::Overlay;
use crate::search::Assignment;

/// Demanded shape and its weight in a [`DemandProfile`].
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedShape {
    /// Resources and adjacency of a gang in demand.
    pub shape: Shape,
    /// Relative weight of the shape; a profile scales its weights to a sum of one.
    pub weight: f64,
}

/// Weighted set of the shapes that are demanded or guaranteed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandProfile {
    shapes: Vec<WeightedShape>,
}

/// Maximum number of shapes in a profile. More shapes make each decision more expensive and hardly
/// change the result.
const MAX_SHAPE_COUNT: usize = 8;

impl DemandProfile {
    /// Creates a profile of the shapes with the largest weights and scales these to a sum of one.
    ///
    /// Shapes without accelerators or without positive weight are dropped.
    pub fn new(mut shapes: Vec<WeightedShape>) -> Self {
        shapes
            .retain(|weighted| weighted.shape.task.accelerator_count > 0 && weighted.weight > 0.0);
        shapes.sort_by(|left, right| right.weight.total_cmp(&left.weight));
        shapes.truncate(MAX_SHAPE_COUNT);
        let total: f64 = shapes.iter().map(|weighted| weighted.weight).sum();
        for weighted in &mut shapes {
            weighted.weight /= total;
        }
        Self { shapes }
    }

    /// Returns the shapes in order of decreasing weight.
    pub fn shapes(&self) -> &[WeightedShape] {
        &self.shapes
    }
}

fn whole_gang_accelerators(slots: u64, shape: &Shape) -> u64 {
    let tasks = u64::from(shape.task_count.max(1));
    slots / tasks * tasks * u64::from(shape.task.accelerator_count)
}

/// Returns the share of free accelerators that cannot serve `profile`, between 0 and 1.
///
/// A free accelerator can serve a shape if a placement of one whole gang can use it.
pub fn fragmentation(cluster: &Cluster, profile: &DemandProfile) -> f64 {
    let free = cluster.free_accelerator_count();
    if free == 0 {
        return 0.0;
    }
    let unusable = |weighted: &WeightedShape| {
        let usable = servable_accelerators(cluster, &weighted.shape);
        weighted.weight * (free - usable.min(free)) as f64
    };
    profile.shapes.iter().map(unusable).sum::<f64>() / free as f64
}

/// Returns the number of free accelerators on workers that can hold a task, in domains that can
/// hold the gang.
fn servable_accelerators(cluster: &Cluster, shape: &Shape) -> u64 {
    let count = shape.task.accelerator_count;
    let mut domains: FastHashMap<u32, (u64, u64)> = FastHashMap::default();
    for (index, worker) in cluster.workers().filter(|(_, worker)| worker.schedulable) {
        let free = worker.free().accelerator_count;
        if free < count {
            continue;
        }
        let key = domain_key(shape.adjacency, index, worker.rack, worker.data_centre);
        let domain = domains.entry(key).or_default();
        domain.0 += u64::from(free / count);
        domain.1 += u64::from(free);
    }
    let fits_gang = |(slots, _): &&(u64, u64)| *slots >= u64::from(shape.task_count);
    domains.values().filter(fits_gang).map(|(_, free)| free).sum()
}

/// Returns the share of free accelerators that remain after placing as many whole gangs as
/// possible, between 0 and 1.
///
/// Each shape of `profile` is placed separately. The measure is stricter than [`fragmentation`].
pub fn remainder(cluster: &Cluster, profile: &DemandProfile) -> f64 {
    let free = cluster.free_accelerator_count();
    if free == 0 {
        return 0.0;
    }
    let unusable = |weighted: &WeightedShape| {
        let usable = usable_accelerators(cluster, &weighted.shape);
        weighted.weight * (free - usable.min(free)) as f64
    };
    profile.shapes.iter().map(unusable).sum::<f64>() / free as f64
}

fn usable_accelerators(cluster: &Cluster, shape: &Shape) -> u64 {
    let count = shape.task.accelerator_count;
    match shape.adjacency {
        Adjacency::Worker => cluster
            .workers()
            .filter(|(_, worker)| worker.schedulable)
            .map(|(_, worker)| {
                whole_gang_accelerators(u64::from(worker.free().accelerator_count / count), shape)
            })
            .sum(),
        Adjacency::Rack => cluster
            .racks
            .iter()
            .map(|rack| whole_gang_accelerators(rack.index.accelerator_slots(count), shape))
            .sum(),
        Adjacency::DataCentre => cluster
            .data_centres
            .iter()
            .map(|data_centre| {
                whole_gang_accelerators(data_centre.index.accelerator_slots(count), shape)
            })
            .sum(),
    }
}

/// Returns the increase in unusable free accelerators that results from `assignments`, weighted by
/// `profile`.
///
/// Only the domains of the assignments are evaluated.
pub(crate) fn growth(
    overlay: &Overlay<'_>,
    profile: &DemandProfile,
    task: &Resources,
    assignments: &[Assignment],
) -> f64 {
    profile
        .shapes
        .iter()
        .map(|weighted| weighted.weight * shape_growth(overlay, &weighted.shape, task, assignments))
        .sum()
}

/// Returns the number of free accelerators that become usable when a running gang releases
/// `assignments`, weighted by `profile` and net of the accelerators that the gang itself releases.
pub fn release_gain(
    cluster: &Cluster,
    profile: &DemandProfile,
    task: &Resources,
    assignments: &[Assignment],
) -> f64 {
    profile
        .shapes
        .iter()
        .map(|weighted| weighted.weight * shape_gain(cluster, &weighted.shape, task, assignments))
        .sum()
}

fn shape_gain(
    cluster: &Cluster,
    shape: &Shape,
    task: &Resources,
    assignments: &[Assignment],
) -> f64 {
    let count = shape.task.accelerator_count;
    let mut gain = 0;
    // Each assignment is evaluated alone. That is a lower bound, because the assignments of a gang
    // mostly share a domain.
    for assignment in assignments {
        let Some(worker) = cluster.worker(assignment.worker) else { continue };
        let before = worker.free().accelerator_count;
        let released = task.accelerator_count * assignment.task_count;
        let slots_gained = u64::from((before + released) / count - before / count);
        let slots = match shape.adjacency {
            Adjacency::Worker => u64::from(before / count),
            Adjacency::Rack => cluster.racks[worker.rack as usize].index.accelerator_slots(count),
            Adjacency::DataCentre => {
                cluster.data_centres[worker.data_centre as usize].index.accelerator_slots(count)
            }
        };
        let usable_gain = whole_gang_accelerators(slots + slots_gained, shape)
            - whole_gang_accelerators(slots, shape);
        gain += usable_gain as i64 - i64::from(released);
    }
    gain as f64
}

fn shape_growth(
    overlay: &Overlay<'_>,
    shape: &Shape,
    task: &Resources,
    assignments: &[Assignment],
) -> f64 {
    let cluster = overlay.cluster();
    let count = shape.task.accelerator_count;
    let mut domains: FastHashMap<u32, DomainChange> = FastHashMap::default();
    for assignment in assignments {
        let Some(worker) = cluster.worker(assignment.worker) else { continue };
        let before = overlay.free(assignment.worker).accelerator_count;
        let allocated = task.accelerator_count * assignment.task_count;
        let after = before.saturating_sub(allocated);
        let key = domain_key(shape.adjacency, assignment.worker, worker.rack, worker.data_centre);
        let change = domains.entry(key).or_default();
        change.allocated += i64::from(before - after);
        change.slots_lost += u64::from(before / count - after / count);
        change.worker_slots += u64::from(before / count);
    }
    let mut growth = 0;
    for (key, change) in domains {
        let slots = match shape.adjacency {
            Adjacency::Worker => change.worker_slots,
            Adjacency::Rack => cluster.racks[key as usize].index.accelerator_slots(count),
            Adjacency::DataCentre => {
                cluster.data_centres[key as usize].index.accelerator_slots(count)
            }
        };
        let lost = whole_gang_accelerators(slots, shape)
            - whole_gang_accelerators(slots.saturating_sub(change.slots_lost), shape);
        growth += lost as i64 - change.allocated;
    }
    growth as f64
}

#[derive(Default)]
struct DomainChange {
    allocated: i64,
    slots_lost: u64,
    worker_slots: u64,
}

fn domain_key(adjacency: Adjacency, worker: WorkerIndex, rack: u32, data_centre: u32) -> u32 {
    match adjacency {
        Adjacency::Worker => worker,
        Adjacency::Rack => rack,
        Adjacency::DataCentre => data_centre,
    }
}
