//! Decisions that have been made but are not in force yet.

use yuccatack_core::prelude::*;

use crate::cluster::{Cluster, WorkerIndex, saturating_sub, sum};

#[derive(Clone, Copy, Debug, Default)]
struct Change {
    taken: Resources,
    firm: Resources,
    unreserved: Resources,
}

/// A cluster seen through decisions that wait in the log.
///
/// Order in the index is that of the cluster; amounts are exact.
#[derive(Clone, Debug)]
pub struct Overlay<'a> {
    cluster: &'a Cluster,
    changes: FastHashMap<WorkerIndex, Change>,
}

impl<'a> Overlay<'a> {
    /// An overlay without decisions.
    pub fn new(cluster: &'a Cluster) -> Self {
        Self { cluster, changes: FastHashMap::default() }
    }

    /// The cluster underneath.
    pub fn cluster(&self) -> &'a Cluster {
        self.cluster
    }

    /// What a new attempt may use at once on a worker.
    pub fn free(&self, worker: WorkerIndex) -> Resources {
        let Some(cell) = self.cluster.worker(worker).filter(|cell| cell.schedulable) else {
            return Resources::default();
        };
        match self.changes.get(&worker) {
            Some(change) => saturating_sub(&cell.free(), &change.taken),
            None => cell.free(),
        }
    }

    /// What work that cannot be reclaimed may take on a worker.
    pub fn firm_headroom(&self, worker: WorkerIndex) -> Resources {
        let Some(cell) = self.cluster.worker(worker).filter(|cell| cell.schedulable) else {
            return Resources::default();
        };
        match self.changes.get(&worker) {
            Some(change) => {
                let reserved = saturating_sub(&cell.reserved, &change.unreserved);
                let firm = sum(&cell.firm, &change.firm);
                saturating_sub(&cell.total, &sum(&firm, &reserved))
            }
            None => cell.firm_headroom(),
        }
    }

    /// Records that an attempt takes capacity.
    pub fn allocate(&mut self, worker: WorkerIndex, amount: &Resources, firm: bool) {
        let change = self.changes.entry(worker).or_default();
        change.taken = sum(&change.taken, amount);
        if firm {
            change.firm = sum(&change.firm, amount);
        }
    }

    /// Takes back what [`Overlay::allocate`] recorded.
    pub fn release(&mut self, worker: WorkerIndex, amount: &Resources, firm: bool) {
        let change = self.changes.entry(worker).or_default();
        change.taken = saturating_sub(&change.taken, amount);
        if firm {
            change.firm = saturating_sub(&change.firm, amount);
        }
    }

    /// Records that a guaranteed shape no longer sets capacity aside, because it is claimed.
    pub fn unreserve(&mut self, worker: WorkerIndex, amount: &Resources) {
        let change = self.changes.entry(worker).or_default();
        change.unreserved = sum(&change.unreserved, amount);
    }

    /// Takes back what [`Overlay::unreserve`] recorded.
    pub fn restore_reserved(&mut self, worker: WorkerIndex, amount: &Resources) {
        let change = self.changes.entry(worker).or_default();
        change.unreserved = saturating_sub(&change.unreserved, amount);
    }
}
