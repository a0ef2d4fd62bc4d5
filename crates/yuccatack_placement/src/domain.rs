//! Index of the free capacity within a rack or data centre.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::cluster::WorkerIndex;

/// Workers of one domain, grouped by free accelerators and by the magnitude of free cores.
///
/// Only schedulable workers are indexed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct FreeCapacityIndex {
    groups: BTreeMap<u32, BTreeSet<WorkerIndex>>,
    free_accelerator_count: u64,
}

/// Returns the bit length of an amount of cores. Grouping by powers of two lets a search skip
/// workers that have free accelerators but too few free cores.
fn core_magnitude(cores_milli: u64) -> u32 {
    u64::BITS - cores_milli.leading_zeros()
}

fn group_of(free: &Resources) -> u32 {
    (free.accelerator_count << 8) | core_magnitude(free.cores_milli)
}

impl FreeCapacityIndex {
    pub(crate) fn insert(&mut self, worker: WorkerIndex, free: &Resources) {
        self.groups.entry(group_of(free)).or_default().insert(worker);
        self.free_accelerator_count += u64::from(free.accelerator_count);
    }

    pub(crate) fn remove(&mut self, worker: WorkerIndex, free: &Resources) {
        let group = group_of(free);
        let Some(members) = self.groups.get_mut(&group) else { return };
        if !members.remove(&worker) {
            return;
        }
        if members.is_empty() {
            self.groups.remove(&group);
        }
        self.free_accelerator_count -= u64::from(free.accelerator_count);
    }

    pub(crate) fn free_accelerator_count(&self) -> u64 {
        self.free_accelerator_count
    }

    /// Iterates over workers that may have capacity for `task`, those with the fewest free
    /// accelerators first.
    pub(crate) fn candidates(
        &self,
        task: &Resources,
    ) -> impl Iterator<Item = WorkerIndex> + use<'_> {
        let min_core_magnitude = core_magnitude(task.cores_milli);
        let min_group = task.accelerator_count << 8;
        self.groups
            .range(min_group..)
            .filter(move |(group, _)| (**group & 0xff) >= min_core_magnitude)
            .flat_map(|(_, members)| members.iter().copied())
    }

    /// Iterates over all workers, those with the most free accelerators first.
    pub(crate) fn emptiest(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.groups.values().rev().flat_map(|members| members.iter().copied())
    }

    /// Returns the number of tasks with `accelerator_count` accelerators each that fit, regardless
    /// of cores and memory.
    pub(crate) fn accelerator_slots(&self, accelerator_count: u32) -> u64 {
        if accelerator_count == 0 {
            return u64::MAX;
        }
        self.groups
            .range(accelerator_count << 8..)
            .map(|(group, members)| {
                u64::from((group >> 8) / accelerator_count) * members.len() as u64
            })
            .sum()
    }
}
