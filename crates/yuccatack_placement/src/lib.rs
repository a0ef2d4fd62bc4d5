//! Placement of jobs and guarantees on accelerators.
//!
//! [`Cluster`] holds the capacity with an index by data centre, rack and free amount, so that a
//! decision looks only at workers that can serve it. [`place`] chooses workers for a gang through
//! an [`Overlay`] of decisions that are not in force yet. [`pack`] binds guaranteed shapes to
//! capacity; its result is the evidence that every unclaimed guarantee can be reclaimed.

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

/// How many tasks that need `task` each fit into `available`.
pub fn slot_count(available: &yuccatack_core::Resources, task: &yuccatack_core::Resources) -> u32 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let slots = ratio(available.cores_milli, task.cores_milli)
        .min(ratio(available.memory_bytes, task.memory_bytes))
        .min(ratio(u64::from(available.accelerator_count), u64::from(task.accelerator_count)));
    u32::try_from(slots).unwrap_or(u32::MAX)
}
