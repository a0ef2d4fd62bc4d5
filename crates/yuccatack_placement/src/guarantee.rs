//! Packing of guaranteed shapes.

use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::cluster::{Cluster, DataCentreIndex, WorkerIndex};
use crate::search::Assignment;
use crate::slot_count;

/// One guaranteed shape.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteedShape {
    /// The shape.
    pub shape: Shape,
    /// Where it may lie; empty means anywhere.
    pub data_centres: Vec<DataCentreIndex>,
}

/// Some shapes do not fit together.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("only {packed_count} of {wanted_count} guaranteed shapes fit together"))]
pub struct PackError {
    /// How many shapes found a place.
    pub packed_count: usize,
    /// How many there are.
    pub wanted_count: usize,
}

/// Binds all `shapes` to capacity, where `available` holds what each worker offers.
///
/// Large shapes go first and each goes where the least remains. The search is sound but not
/// complete: it may refuse shapes that an exhaustive search would fit.
pub fn pack(
    cluster: &Cluster,
    available: &mut [Resources],
    shapes: &[GuaranteedShape],
) -> Result<Vec<Vec<Assignment>>, PackError> {
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    order.sort_by_key(|position| {
        let shape = &shapes[*position].shape;
        let total = shape.task_count * shape.task.accelerator_count;
        let freedom = (shape.adjacency, shapes[*position].data_centres.is_empty());
        (std::cmp::Reverse(shape.task.accelerator_count), std::cmp::Reverse(total), freedom)
    });
    let mut bindings = vec![Vec::new(); shapes.len()];
    for (packed_count, position) in order.into_iter().enumerate() {
        bindings[position] = pack_one(cluster, available, &shapes[position])
            .ok_or(PackError { packed_count, wanted_count: shapes.len() })?;
    }
    Ok(bindings)
}

/// Binds one shape and takes its capacity out of `available`.
pub fn pack_one(
    cluster: &Cluster,
    available: &mut [Resources],
    wanted: &GuaranteedShape,
) -> Option<Vec<Assignment>> {
    let allowed = |data_centre: DataCentreIndex| {
        wanted.data_centres.is_empty() || wanted.data_centres.contains(&data_centre)
    };
    let task = &wanted.shape.task;
    let mut domains: FastHashMap<u32, (u64, u64)> = FastHashMap::default();
    let domain_of = |index: WorkerIndex, rack: u32, data_centre: u32| match wanted.shape.adjacency {
        Adjacency::Worker => index,
        Adjacency::Rack => rack,
        Adjacency::DataCentre => data_centre,
    };
    let mut members: Vec<(u32, u32, WorkerIndex)> = Vec::new();
    for (index, cell) in cluster.workers().filter(|(_, cell)| cell.schedulable) {
        if !allowed(cell.data_centre) {
            continue;
        }
        let slots = slot_count(&available[index as usize], task).min(wanted.shape.task_count);
        if slots == 0 {
            continue;
        }
        let key = domain_of(index, cell.rack, cell.data_centre);
        let domain = domains.entry(key).or_default();
        domain.0 += u64::from(slots);
        domain.1 += u64::from(available[index as usize].accelerator_count);
        members.push((key, available[index as usize].accelerator_count, index));
    }
    let needed = u64::from(wanted.shape.task_count);
    let (key, _) = domains
        .iter()
        .filter(|(_, (slots, _))| *slots >= needed)
        .min_by_key(|(key, (_, free))| (*free, **key))?;
    let mut chosen: Vec<_> = members.iter().filter(|(domain, ..)| domain == key).collect();
    chosen.sort();
    let mut missing = wanted.shape.task_count;
    let mut assignments = Vec::new();
    for (_, _, worker) in chosen {
        let slot = &mut available[*worker as usize];
        let task_count = slot_count(slot, task).min(missing);
        let taken = task.checked_mul(task_count)?;
        *slot = slot.checked_sub(&taken)?;
        assignments.push(Assignment { worker: *worker, task_count });
        missing -= task_count;
        if missing == 0 {
            break;
        }
    }
    Some(assignments)
}

/// The nearest smaller request that fits beside `accepted`: fewer shapes first, then one shape
/// with fewer tasks, then one task with fewer accelerators.
pub fn nearest_fit(
    cluster: &Cluster,
    available: &[Resources],
    accepted: &[GuaranteedShape],
    wanted: &GuaranteedShape,
    wanted_count: u32,
) -> Option<(Shape, u32)> {
    let fits = |shape: Shape, count: u32| {
        let candidate = GuaranteedShape { shape, data_centres: wanted.data_centres.clone() };
        let mut shapes = accepted.to_vec();
        shapes.extend(std::iter::repeat_n(candidate, count as usize));
        pack(cluster, &mut available.to_vec(), &shapes).is_ok()
    };
    let largest = |limit: u32, fits: &dyn Fn(u32) -> bool| {
        let (mut low, mut high) = (0, limit);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if fits(middle) { low = middle } else { high = middle - 1 }
        }
        low
    };
    let count = largest(wanted_count.saturating_sub(1), &|count| fits(wanted.shape, count));
    if count > 0 {
        return Some((wanted.shape, count));
    }
    let with_tasks = |task_count| Shape { task_count, ..wanted.shape };
    let task_limit = wanted.shape.task_count.saturating_sub(1);
    let task_count = largest(task_limit, &|count| fits(with_tasks(count), 1));
    if task_count > 0 {
        return Some((with_tasks(task_count), 1));
    }
    let with_accelerators = |accelerator_count| Shape {
        task_count: 1,
        task: Resources { accelerator_count, ..wanted.shape.task },
        ..wanted.shape
    };
    let limit = wanted.shape.task.accelerator_count.saturating_sub(1);
    let accelerators = largest(limit, &|count| fits(with_accelerators(count), 1));
    (accelerators > 0).then(|| (with_accelerators(accelerators), 1))
}
