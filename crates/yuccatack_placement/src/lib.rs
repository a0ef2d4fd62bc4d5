//! Placement of jobs and guarantees on accelerators.
//!
//! [`Cluster`] indexes the capacity by data centre, rack and free amount, so that a decision visits
//! only workers that may satisfy it. [`place`] chooses workers for a gang; it reads the cluster
//! through an [`Overlay`] of decisions that are not applied yet. [`pack`] binds guaranteed shapes
//! to capacity; its result proves that every unclaimed guarantee can be reclaimed.

mod baseline;
mod cluster;
mod domain;
mod fragmentation;
mod guarantee;
mod overlay;
mod search;

pub use baseline::{best_fit, first_fit};
pub use cluster::{Cluster, DataCentreIndex, RackIndex, WorkerCapacity, WorkerIndex};
pub use fragmentation::{DemandProfile, WeightedShape, fragmentation, release_gain, remainder};
pub use guarantee::{GuaranteedShape, PackError, nearest_fit, pack, pack_one};
pub use overlay::Overlay;
pub use search::{AllocationKind, Assignment, Placement, Request, Reservation, Weights, place};

/// Returns the number of tasks with the resources `task` that fit into `available`.
pub fn slot_count(available: &yuccatack_core::Resources, task: &yuccatack_core::Resources) -> u32 {
    let ratio = |available: u64, required: u64| available.checked_div(required).unwrap_or(u64::MAX);
    let slots = ratio(available.cores_milli, task.cores_milli)
        .min(ratio(available.memory_bytes, task.memory_bytes))
        .min(ratio(u64::from(available.accelerator_count), u64::from(task.accelerator_count)));
    u32::try_from(slots).unwrap_or(u32::MAX)
}
