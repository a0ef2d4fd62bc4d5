//! The share of free accelerators that cannot serve the shapes in demand.

use yuccatack_core::prelude::*;

use crate::cluster::{Cluster, WorkerIndex};
use crate::overlay::Overlay;
use crate::search::Assignment;

/// A shape in demand and how much it counts.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedShape {
    /// The shape.
    pub shape: Shape,
    /// Its weight; the weights of a profile add up to one.
    pub weight: f64,
}

/// The shapes that are demanded or guaranteed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandProfile {
    shapes: Vec<WeightedShape>,
}

/// More shapes than this add cost to each decision and hardly change the result.
const MAX_SHAPE_COUNT: usize = 8;

impl DemandProfile {
    /// Keeps the shapes with the most weight and scales their weights to a sum of one.
    pub fn new(mut shapes: Vec<WeightedShape>) -> Self {
        shapes.retain(|entry| entry.shape.task.accelerator_count > 0 && entry.weight > 0.0);
        shapes.sort_by(|left, right| right.weight.total_cmp(&left.weight));
        shapes.truncate(MAX_SHAPE_COUNT);
        let total: f64 = shapes.iter().map(|entry| entry.weight).sum();
        for entry in &mut shapes {
            entry.weight /= total;
        }
        Self { shapes }
    }

    /// The shapes with their weights.
    pub fn shapes(&self) -> &[WeightedShape] {
        &self.shapes
    }
}

fn whole_gangs(slots: u64, shape: &Shape) -> u64 {
    let tasks = u64::from(shape.task_count.max(1));
    slots / tasks * tasks * u64::from(shape.task.accelerator_count)
}

/// The share of free accelerators that cannot serve `profile`, between 0 and 1.
///
/// A free accelerator can serve a shape when some placement of one whole gang uses it.
pub fn fragmentation(cluster: &Cluster, profile: &DemandProfile) -> f64 {
    let free = cluster.free_accelerator_count();
    if free == 0 {
        return 0.0;
    }
    let unusable = |entry: &WeightedShape| {
        let usable = servable_accelerators(cluster, &entry.shape);
        entry.weight * (free - usable.min(free)) as f64
    };
    profile.shapes.iter().map(unusable).sum::<f64>() / free as f64
}

/// Free accelerators on workers that can hold a task, in domains that can hold the gang.
fn servable_accelerators(cluster: &Cluster, shape: &Shape) -> u64 {
    let count = shape.task.accelerator_count;
    let mut domains: FastHashMap<u32, (u64, u64)> = FastHashMap::default();
    for (index, cell) in cluster.workers().filter(|(_, cell)| cell.schedulable) {
        let free = cell.free().accelerator_count;
        if free < count {
            continue;
        }
        let key = domain_key(shape.adjacency, index, cell.rack, cell.data_centre);
        let domain = domains.entry(key).or_default();
        domain.0 += u64::from(free / count);
        domain.1 += u64::from(free);
    }
    let whole = |(slots, _): &&(u64, u64)| *slots >= u64::from(shape.task_count);
    domains.values().filter(whole).map(|(_, free)| free).sum()
}

/// The share of free accelerators that remains when as many whole gangs as possible are placed,
/// for each shape of `profile` alone. Stricter than [`fragmentation`].
pub fn remainder(cluster: &Cluster, profile: &DemandProfile) -> f64 {
    let free = cluster.free_accelerator_count();
    if free == 0 {
        return 0.0;
    }
    let unusable = |entry: &WeightedShape| {
        let usable = usable_accelerators(cluster, &entry.shape);
        entry.weight * (free - usable.min(free)) as f64
    };
    profile.shapes.iter().map(unusable).sum::<f64>() / free as f64
}

fn usable_accelerators(cluster: &Cluster, shape: &Shape) -> u64 {
    let count = shape.task.accelerator_count;
    match shape.adjacency {
        Adjacency::Worker => cluster
            .workers()
            .filter(|(_, cell)| cell.schedulable)
            .map(|(_, cell)| whole_gangs(u64::from(cell.free().accelerator_count / count), shape))
            .sum(),
        Adjacency::Rack => cluster
            .racks
            .iter()
            .map(|rack| whole_gangs(rack.index.accelerator_slots(count), shape))
            .sum(),
        Adjacency::DataCentre => cluster
            .data_centres
            .iter()
            .map(|data_centre| whole_gangs(data_centre.index.accelerator_slots(count), shape))
            .sum(),
    }
}

/// How many more free accelerators become unusable when `assignments` are carried out.
///
/// Looks only at the domains that the assignments touch.
pub(crate) fn growth(
    overlay: &Overlay<'_>,
    profile: &DemandProfile,
    task: &Resources,
    assignments: &[Assignment],
) -> f64 {
    profile
        .shapes
        .iter()
        .map(|entry| entry.weight * shape_growth(overlay, &entry.shape, task, assignments))
        .sum()
}

/// How many free accelerators become usable when a running gang leaves `assignments`, net of the
/// accelerators that it frees itself.
pub fn release_gain(
    cluster: &Cluster,
    profile: &DemandProfile,
    task: &Resources,
    assignments: &[Assignment],
) -> f64 {
    profile
        .shapes
        .iter()
        .map(|entry| entry.weight * shape_gain(cluster, &entry.shape, task, assignments))
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
    // The parts of one gang mostly share a domain; each part alone is a lower bound.
    for part in assignments {
        let Some(cell) = cluster.worker(part.worker) else { continue };
        let before = cell.free().accelerator_count;
        let freed = task.accelerator_count * part.task_count;
        let gained = u64::from((before + freed) / count - before / count);
        let slots = match shape.adjacency {
            Adjacency::Worker => u64::from(before / count),
            Adjacency::Rack => cluster.racks[cell.rack as usize].index.accelerator_slots(count),
            Adjacency::DataCentre => {
                cluster.data_centres[cell.data_centre as usize].index.accelerator_slots(count)
            }
        };
        let won = whole_gangs(slots + gained, shape) - whole_gangs(slots, shape);
        gain += won as i64 - i64::from(freed);
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
        let Some(cell) = cluster.worker(assignment.worker) else { continue };
        let before = overlay.free(assignment.worker).accelerator_count;
        let taken = task.accelerator_count * assignment.task_count;
        let after = before.saturating_sub(taken);
        let key = domain_key(shape.adjacency, assignment.worker, cell.rack, cell.data_centre);
        let change = domains.entry(key).or_default();
        change.taken += i64::from(before - after);
        change.slots_lost += u64::from(before / count - after / count);
        change.worker_slots += u64::from(before / count);
    }
    let mut grown = 0;
    for (key, change) in domains {
        let slots = match shape.adjacency {
            Adjacency::Worker => change.worker_slots,
            Adjacency::Rack => cluster.racks[key as usize].index.accelerator_slots(count),
            Adjacency::DataCentre => {
                cluster.data_centres[key as usize].index.accelerator_slots(count)
            }
        };
        let lost =
            whole_gangs(slots, shape) - whole_gangs(slots.saturating_sub(change.slots_lost), shape);
        grown += lost as i64 - change.taken;
    }
    grown as f64
}

#[derive(Default)]
struct DomainChange {
    taken: i64,
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
