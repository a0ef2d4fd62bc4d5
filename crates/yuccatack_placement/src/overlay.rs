//! View of a cluster that includes decisions which are not applied yet.

use yuccatack_core::prelude::*;

use crate::cluster::{Cluster, WorkerIndex, saturating_sub, sum};

#[derive(Clone, Copy, Debug, Default)]
struct PendingChange {
    allocated: Resources,
    firm: Resources,
    unreserved: Resources,
}

/// View of a cluster that includes the decisions pending in the replicated log.
///
/// Candidates are ordered as in the cluster without the pending decisions; the resources returned
/// for a worker include them.
#[derive(Clone, Debug)]
pub struct Overlay<'a> {
    cluster: &'a Cluster,
    changes: FastHashMap<WorkerIndex, PendingChange>,
}

impl<'a> Overlay<'a> {
    /// Creates an overlay without pending decisions.
    pub fn new(cluster: &'a Cluster) -> Self {
        Self { cluster, changes: FastHashMap::default() }
    }

    /// Returns the underlying cluster, without the pending decisions.
    pub fn cluster(&self) -> &'a Cluster {
        self.cluster
    }

    /// Returns the resources that a new attempt may use immediately on a worker; zero if the worker
    /// is not schedulable.
    pub fn free(&self, worker: WorkerIndex) -> Resources {
        let Some(capacity) = self.cluster.worker(worker).filter(|capacity| capacity.schedulable)
        else {
            return Resources::default();
        };
        match self.changes.get(&worker) {
            Some(change) => saturating_sub(&capacity.free(), &change.allocated),
            None => capacity.free(),
        }
    }

    /// Returns the resources that non-reclaimable attempts may use on a worker without violating a
    /// guarantee; zero if the worker is not schedulable.
    pub fn firm_headroom(&self, worker: WorkerIndex) -> Resources {
        let Some(capacity) = self.cluster.worker(worker).filter(|capacity| capacity.schedulable)
        else {
            return Resources::default();
        };
        match self.changes.get(&worker) {
            Some(change) => {
                let reserved = saturating_sub(&capacity.reserved, &change.unreserved);
                let firm = sum(&capacity.firm, &change.firm);
                saturating_sub(&capacity.total, &sum(&firm, &reserved))
            }
            None => capacity.firm_headroom(),
        }
    }

    /// Records an allocation to an attempt; `firm` allocations cannot be reclaimed.
    pub fn allocate(&mut self, worker: WorkerIndex, amount: &Resources, firm: bool) {
        let change = self.changes.entry(worker).or_default();
        change.allocated = sum(&change.allocated, amount);
        if firm {
            change.firm = sum(&change.firm, amount);
        }
    }

    /// Reverts an allocation recorded by [`Overlay::allocate`].
    pub fn release(&mut self, worker: WorkerIndex, amount: &Resources, firm: bool) {
        let change = self.changes.entry(worker).or_default();
        change.allocated = saturating_sub(&change.allocated, amount);
        if firm {
            change.firm = saturating_sub(&change.firm, amount);
        }
    }

    /// Records that a guaranteed shape no longer reserves capacity, because it is being claimed.
    pub fn unreserve(&mut self, worker: WorkerIndex, amount: &Resources) {
        let change = self.changes.entry(worker).or_default();
        change.unreserved = sum(&change.unreserved, amount);
    }

    /// Reverts a removal recorded by [`Overlay::unreserve`].
    pub fn restore_reserved(&mut self, worker: WorkerIndex, amount: &Resources) {
        let change = self.changes.entry(worker).or_default();
        change.unreserved = saturating_sub(&change.unreserved, amount);
    }
}
