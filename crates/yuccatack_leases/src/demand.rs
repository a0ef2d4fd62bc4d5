//! Profile of the shapes in demand, for the fragmentation score.

use yuccatack_core::prelude::*;
use yuccatack_placement::{DemandProfile, WeightedShape};

use crate::table::LeaseTable;

/// Returns the weight of one gang in the profile. The square of its accelerators keeps few large
/// gangs from being outweighed by many small ones, which are easy to place.
pub(crate) fn demand_weight(shape: &Shape) -> f64 {
    let accelerators = f64::from(shape.task_count) * f64::from(shape.task.accelerator_count);
    accelerators * accelerators
}

/// Returns the shapes that were placed recently, are guaranteed, or are at the heads of the queues,
/// weighted by [`demand_weight`].
pub(crate) fn profile(table: &LeaseTable, demand: &[(Shape, f64)]) -> DemandProfile {
    let mut shapes: Vec<WeightedShape> = Vec::new();
    let mut add =
        |shape: Shape, weight: f64| match shapes.iter_mut().find(|entry| entry.shape == shape) {
            Some(entry) => entry.weight += weight,
            None => shapes.push(WeightedShape { shape, weight }),
        };
    for (shape, weight) in demand {
        add(*shape, *weight);
    }
    for entry in table.guarantees.values() {
        add(entry.spec.shape, demand_weight(&entry.spec.shape) * f64::from(entry.spec.shape_count));
    }
    for waiting in table.waiting.values() {
        for class in PriorityClass::ALL {
            let head = waiting.class(class).next();
            if let Some(job) = head.and_then(|(_, job)| table.jobs.get(job)) {
                add(job.spec.shape, demand_weight(&job.spec.shape));
            }
        }
    }
    DemandProfile::new(shapes)
}
