//! Packing of guaranteed shapes onto workers.

use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::cluster::{Cluster, DataCentreIndex, WorkerIndex};
use crate::search::Assignment;
use crate::slot_count;

/// Shape of a guarantee, together with its permitted data centres.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteedShape {
    /// Resources and topology that are guaranteed.
    pub shape: Shape,
    /// Data centres in which the shape may be bound; empty permits all.
    pub data_centres: Vec<DataCentreIndex>,
}

/// Error of binding a set of shapes that do not fit together.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("only {packed_count} of {requested_count} guaranteed shapes fit together"))]
pub struct PackError {
    /// Number of shapes that were bound before the first failure.
    pub packed_count: usize,
    /// Number of shapes that were to be bound.
    pub requested_count: usize,
}

/// Binds all `shapes` to capacity and returns their bindings in the order of `shapes`.
///
/// `available` holds the resources of each worker by index; bound resources are subtracted. Shapes
/// are bound in decreasing size, each in the domain with the least available accelerators. The
/// heuristic is sound but not complete: it may reject shapes that an exhaustive search would fit.
pub fn pack(
    cluster: &Cluster,
    available: &mut [Resources],
    shapes: &[GuaranteedShape],
) -> Result<Vec<Vec<Assignment>>, PackError> {
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    order.sort_by_key(|position| {
        let shape = &shapes[*position].shape;
        let total = shape.task_count * shape.task.accelerator_count;
        let flexibility = (shape.adjacency, shapes[*position].data_centres.is_empty());
        (std::cmp::Reverse(shape.task.accelerator_count), std::cmp::Reverse(total), flexibility)
    });
    let mut bindings = vec![Vec::new(); shapes.len()];
    for (packed_count, position) in order.into_iter().enumerate() {
        bindings[position] = pack_one(cluster, available, &shapes[position])
            .ok_or(PackError { packed_count, requested_count: shapes.len() })?;
    }
    Ok(bindings)
}

/// Binds one shape and subtracts its resources from `available`; returns `None` if it does not fit.
pub fn pack_one(
    cluster: &Cluster,
    available: &mut [Resources],
    requested: &GuaranteedShape,
) -> Option<Vec<Assignment>> {
    let allowed = |data_centre: DataCentreIndex| {
        requested.data_centres.is_empty() || requested.data_centres.contains(&data_centre)
    };
    let task = &requested.shape.task;
    let mut domains: FastHashMap<u32, (u64, u64)> = FastHashMap::default();
    let domain_of =
        |index: WorkerIndex, rack: u32, data_centre: u32| match requested.shape.adjacency {
            Adjacency::Worker => index,
            Adjacency::Rack => rack,
            Adjacency::DataCentre => data_centre,
        };
    let mut members: Vec<(u32, u32, WorkerIndex)> = Vec::new();
    for (index, worker) in cluster.workers().filter(|(_, worker)| worker.schedulable) {
        if !allowed(worker.data_centre) {
            continue;
        }
        let slots = slot_count(&available[index as usize], task).min(requested.shape.task_count);
        if slots == 0 {
            continue;
        }
        let key = domain_of(index, worker.rack, worker.data_centre);
        let domain = domains.entry(key).or_default();
        domain.0 += u64::from(slots);
        domain.1 += u64::from(available[index as usize].accelerator_count);
        members.push((key, available[index as usize].accelerator_count, index));
    }
    let needed = u64::from(requested.shape.task_count);
    let (key, _) = domains
        .iter()
        .filter(|(_, (slots, _))| *slots >= needed)
        .min_by_key(|(key, (_, free))| (*free, **key))?;
    let mut chosen: Vec<_> = members.iter().filter(|(domain, ..)| domain == key).collect();
    chosen.sort();
    let mut unassigned_count = requested.shape.task_count;
    let mut assignments = Vec::new();
    for (_, _, worker) in chosen {
        let remaining = &mut available[*worker as usize];
        let task_count = slot_count(remaining, task).min(unassigned_count);
        let bound = task.checked_mul(task_count)?;
        *remaining = remaining.checked_sub(&bound)?;
        assignments.push(Assignment { worker: *worker, task_count });
        unassigned_count -= task_count;
        if unassigned_count == 0 {
            break;
        }
    }
    Some(assignments)
}

/// Returns the closest smaller request that fits in addition to `accepted`: a shape and its count.
///
/// Tries fewer shapes first, then one shape with fewer tasks, then one task with fewer
/// accelerators.
pub fn nearest_fit(
    cluster: &Cluster,
    available: &[Resources],
    accepted: &[GuaranteedShape],
    requested: &GuaranteedShape,
    requested_count: u32,
) -> Option<(Shape, u32)> {
    let fits = |shape: Shape, count: u32| {
        let candidate = GuaranteedShape { shape, data_centres: requested.data_centres.clone() };
        let mut shapes = accepted.to_vec();
        shapes.extend(std::iter::repeat_n(candidate, count as usize));
        pack(cluster, &mut available.to_vec(), &shapes).is_ok()
    };
    let largest_fitting = |limit: u32, fits: &dyn Fn(u32) -> bool| {
        let (mut low, mut high) = (0, limit);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if fits(middle) { low = middle } else { high = middle - 1 }
        }
        low
    };
    let count =
        largest_fitting(requested_count.saturating_sub(1), &|count| fits(requested.shape, count));
    if count > 0 {
        return Some((requested.shape, count));
    }
    let with_tasks = |task_count| Shape { task_count, ..requested.shape };
    let task_limit = requested.shape.task_count.saturating_sub(1);
    let task_count = largest_fitting(task_limit, &|count| fits(with_tasks(count), 1));
    if task_count > 0 {
        return Some((with_tasks(task_count), 1));
    }
    let full_task = requested.shape.task;
    // Scales cores and memory with the accelerators, because requests are mostly proportional.
    let scaled = |amount: u64, accelerator_count: u32| {
        amount / u64::from(full_task.accelerator_count.max(1)) * u64::from(accelerator_count)
    };
    let with_accelerators = |accelerator_count| Shape {
        task_count: 1,
        task: Resources {
            cores_milli: scaled(full_task.cores_milli, accelerator_count),
            memory_bytes: scaled(full_task.memory_bytes, accelerator_count),
            accelerator_count,
        },
        ..requested.shape
    };
    let limit = full_task.accelerator_count.saturating_sub(1);
    let accelerators = largest_fitting(limit, &|count| fits(with_accelerators(count), 1));
    (accelerators > 0).then(|| (with_accelerators(accelerators), 1))
}
