//! Capacity and allocations of all workers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::domain::FreeCapacityIndex;

/// Maximum number of data centres searched for capacity for a starved gang.
const MAX_SEARCHED_DATA_CENTRE_COUNT: usize = 4;
/// Maximum number of workers of a data centre searched for capacity for a starved gang. It is 1.5
/// times the 64 tasks of the largest gang.
const MAX_SEARCHED_WORKER_COUNT: usize = 96;
/// Maximum number of racks, or of single workers, of a data centre searched for capacity.
const MAX_SEARCHED_RACK_COUNT: usize = 24;

/// Index of a worker in a [`Cluster`]; it is reused after the worker has been removed.
pub type WorkerIndex = u32;
/// Index of a rack in a [`Cluster`]; it is never reused.
pub type RackIndex = u32;
/// Index of a data centre in a [`Cluster`]; it is never reused.
pub type DataCentreIndex = u32;

/// Capacity of a worker and its allocations.
///
/// Two invariants hold: `used` never exceeds `total`, and on a schedulable worker the sum of `firm`
/// and `reserved` never exceeds `total`. The second one makes guarantees reclaimable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCapacity {
    /// Name of the worker, unique in the cluster.
    pub name: WorkerName,
    /// Index of the data centre that contains the worker.
    pub data_centre: DataCentreIndex,
    /// Index of the rack that contains the worker.
    pub rack: RackIndex,
    /// Total resources of the worker.
    pub total: Resources,
    /// Resources allocated to attempts until their termination is confirmed.
    pub used: Resources,
    /// Resources booked for attempts that wait for capacity to be reclaimed.
    pub booked: Resources,
    /// Part of `used` and `booked` that cannot be reclaimed.
    pub firm: Resources,
    /// Resources reserved for unclaimed guarantees; reclaimable attempts may borrow them.
    pub reserved: Resources,
    /// Bit mask of the accelerators in use.
    pub accelerator_mask: u64,
    /// `true` if new attempts may be placed on the worker.
    pub schedulable: bool,
}

/// Subtracts each amount, saturating at zero.
pub(crate) fn saturating_sub(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cores_milli: left.cores_milli.saturating_sub(right.cores_milli),
        memory_bytes: left.memory_bytes.saturating_sub(right.memory_bytes),
        accelerator_count: left.accelerator_count.saturating_sub(right.accelerator_count),
    }
}

pub(crate) fn sum(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cores_milli: left.cores_milli + right.cores_milli,
        memory_bytes: left.memory_bytes + right.memory_bytes,
        accelerator_count: left.accelerator_count + right.accelerator_count,
    }
}

impl WorkerCapacity {
    /// Returns the resources that a new attempt may use immediately.
    pub fn free(&self) -> Resources {
        saturating_sub(&self.total, &sum(&self.used, &self.booked))
    }

    /// Returns the resources that non-reclaimable attempts may use without violating a guarantee.
    pub fn firm_headroom(&self) -> Resources {
        saturating_sub(&self.total, &sum(&self.firm, &self.reserved))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Rack {
    pub(crate) name: RackName,
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) index: FreeCapacityIndex,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DataCentre {
    pub(crate) name: DataCentreName,
    pub(crate) index: FreeCapacityIndex,
    pub(crate) racks_by_name: BTreeMap<RackName, RackIndex>,
    pub(crate) racks_by_free: BTreeMap<u64, BTreeSet<RackIndex>>,
}

/// Set of workers with their capacity, indexed by data centre, rack and free amount.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cluster {
    pub(crate) cells: Vec<Option<WorkerCapacity>>,
    vacant: Vec<WorkerIndex>,
    by_name: BTreeMap<WorkerName, WorkerIndex>,
    pub(crate) racks: Vec<Rack>,
    pub(crate) data_centres: Vec<DataCentre>,
    data_centres_by_name: BTreeMap<DataCentreName, DataCentreIndex>,
}

impl Cluster {
    /// Adds a schedulable worker and returns its index. If a worker with this name exists, returns
    /// the index of that worker unchanged.
    pub fn add_worker(
        &mut self,
        name: &WorkerName,
        data_centre: &DataCentreName,
        rack: &RackName,
        total: Resources,
    ) -> WorkerIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let data_centre = self.intern_data_centre(data_centre);
        let rack = self.intern_rack(data_centre, rack);
        let worker = WorkerCapacity {
            name: name.clone(),
            data_centre,
            rack,
            total,
            used: Resources::default(),
            booked: Resources::default(),
            firm: Resources::default(),
            reserved: Resources::default(),
            accelerator_mask: 0,
            schedulable: true,
        };
        let index = match self.vacant.pop() {
            Some(index) => {
                self.cells[index as usize] = Some(worker);
                index
            }
            None => {
                self.cells.push(Some(worker));
                u32::try_from(self.cells.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.by_name.insert(name.clone(), index);
        self.add_to_indexes(index);
        index
    }

    /// Removes a worker, which must have no allocations.
    pub fn remove_worker(&mut self, index: WorkerIndex) {
        self.remove_from_indexes(index);
        if let Some(worker) = self.cells.get_mut(index as usize).and_then(Option::take) {
            self.by_name.remove(&worker.name);
            self.vacant.push(index);
        }
    }

    /// Returns the index of a worker, or `None` if no worker has this name.
    pub fn worker_index(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the capacity of a worker, or `None` if the index is vacant.
    pub fn worker(&self, index: WorkerIndex) -> Option<&WorkerCapacity> {
        self.cells.get(index as usize).and_then(Option::as_ref)
    }

    /// Iterates over all workers in index order.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerCapacity)> {
        self.cells
            .iter()
            .enumerate()
            .filter_map(|(index, worker)| Some((index as WorkerIndex, worker.as_ref()?)))
    }

    /// Returns the index of a data centre; `None` if it has never had workers.
    pub fn data_centre_index(&self, name: &DataCentreName) -> Option<DataCentreIndex> {
        self.data_centres_by_name.get(name).copied()
    }

    /// Returns the number of data centres that have or had workers.
    pub fn data_centre_count(&self) -> u32 {
        self.data_centres.len() as u32
    }

    /// Returns the name of a data centre, or `None` if the index is out of range.
    pub fn data_centre_name(&self, index: DataCentreIndex) -> Option<&DataCentreName> {
        self.data_centres.get(index as usize).map(|data_centre| &data_centre.name)
    }

    /// Returns the name of a rack, or `None` if the index is out of range.
    pub fn rack_name(&self, index: RackIndex) -> Option<&RackName> {
        self.racks.get(index as usize).map(|rack| &rack.name)
    }

    /// Returns the number of free accelerators on schedulable workers.
    pub fn free_accelerator_count(&self) -> u64 {
        self.data_centres.iter().map(|data_centre| data_centre.index.free_accelerator_count()).sum()
    }

    /// Returns the domains that may soonest have capacity for a gang of this adjacency.
    ///
    /// A domain is a list of its workers, those with the most free accelerators first. On a large
    /// platform only the domains and workers with the most free accelerators are returned, so that
    /// the cost of a search does not grow with the platform.
    pub fn emptiest_domains(&self, adjacency: Adjacency) -> Vec<Vec<WorkerIndex>> {
        let mut centres: Vec<&DataCentre> = self.data_centres.iter().collect();
        centres.sort_by_key(|centre| std::cmp::Reverse(centre.index.free_accelerator_count()));
        match adjacency {
            Adjacency::DataCentre => centres
                .iter()
                .take(MAX_SEARCHED_DATA_CENTRE_COUNT)
                .map(|centre| centre.index.emptiest().take(MAX_SEARCHED_WORKER_COUNT).collect())
                .collect(),
            Adjacency::Rack => centres
                .iter()
                .flat_map(|centre| {
                    let racks = centre.racks_by_free.values().rev().flatten();
                    racks.take(MAX_SEARCHED_RACK_COUNT)
                })
                .map(|rack| self.racks[*rack as usize].index.emptiest().collect())
                .collect(),
            Adjacency::Worker => centres
                .iter()
                .flat_map(|centre| centre.index.emptiest().take(MAX_SEARCHED_RACK_COUNT))
                .map(|worker| vec![worker])
                .collect(),
        }
    }

    /// Applies `change` to the capacity of a worker and updates the free-capacity indexes.
    pub fn update<Change>(&mut self, index: WorkerIndex, change: Change)
    where
        Change: FnOnce(&mut WorkerCapacity),
    {
        self.remove_from_indexes(index);
        if let Some(worker) = self.cells.get_mut(index as usize).and_then(Option::as_mut) {
            change(worker);
        }
        self.add_to_indexes(index);
    }

    /// Allocates `count` accelerators of a worker and returns their bit mask.
    ///
    /// The accelerators belong to one aligned group where possible, because aligned groups of 2, 4
    /// and 8 share the fast links of a worker. Otherwise any free accelerators are allocated.
    pub fn allocate_accelerators(&mut self, index: WorkerIndex, count: u32) -> u64 {
        let Some(worker) = self.cells.get_mut(index as usize).and_then(Option::as_mut) else {
            return 0;
        };
        let free = !worker.accelerator_mask & low_bits(worker.total.accelerator_count);
        let mask = aligned_mask(free, count);
        worker.accelerator_mask |= mask;
        mask
    }

    /// Releases the accelerators of a worker that are set in `mask`.
    pub fn release_accelerators(&mut self, index: WorkerIndex, mask: u64) {
        if let Some(worker) = self.cells.get_mut(index as usize).and_then(Option::as_mut) {
            worker.accelerator_mask &= !mask;
        }
    }

    fn intern_data_centre(&mut self, name: &DataCentreName) -> DataCentreIndex {
        if let Some(index) = self.data_centres_by_name.get(name) {
            return *index;
        }
        let index = self.data_centres.len() as DataCentreIndex;
        self.data_centres.push(DataCentre {
            name: name.clone(),
            index: FreeCapacityIndex::default(),
            racks_by_name: BTreeMap::new(),
            racks_by_free: BTreeMap::new(),
        });
        self.data_centres_by_name.insert(name.clone(), index);
        index
    }

    fn intern_rack(&mut self, data_centre: DataCentreIndex, name: &RackName) -> RackIndex {
        let next = self.racks.len() as RackIndex;
        let parent = &mut self.data_centres[data_centre as usize];
        if let Some(index) = parent.racks_by_name.get(name) {
            return *index;
        }
        parent.racks_by_name.insert(name.clone(), next);
        parent.racks_by_free.entry(0).or_default().insert(next);
        self.racks.push(Rack {
            name: name.clone(),
            data_centre,
            index: FreeCapacityIndex::default(),
        });
        next
    }

    fn add_to_indexes(&mut self, index: WorkerIndex) {
        self.update_indexes(index, FreeCapacityIndex::insert);
    }

    fn remove_from_indexes(&mut self, index: WorkerIndex) {
        self.update_indexes(index, FreeCapacityIndex::remove);
    }

    fn update_indexes<Change>(&mut self, index: WorkerIndex, change: Change)
    where
        Change: Fn(&mut FreeCapacityIndex, WorkerIndex, &Resources),
    {
        let Some(worker) = self.cells.get(index as usize).and_then(Option::as_ref) else { return };
        if !worker.schedulable {
            return;
        }
        let free = worker.free();
        let rack = &mut self.racks[worker.rack as usize];
        let data_centre = &mut self.data_centres[worker.data_centre as usize];
        let before = rack.index.free_accelerator_count();
        change(&mut rack.index, index, &free);
        let after = rack.index.free_accelerator_count();
        change(&mut data_centre.index, index, &free);
        if before == after {
            return;
        }
        if let Some(racks) = data_centre.racks_by_free.get_mut(&before) {
            racks.remove(&worker.rack);
            if racks.is_empty() {
                data_centre.racks_by_free.remove(&before);
            }
        }
        data_centre.racks_by_free.entry(after).or_default().insert(worker.rack);
    }
}

fn low_bits(count: u32) -> u64 {
    if count >= u64::BITS { u64::MAX } else { (1 << count) - 1 }
}

fn aligned_mask(free: u64, count: u32) -> u64 {
    if count == 0 {
        return 0;
    }
    let mut width = count.next_power_of_two();
    while width < u64::BITS {
        let best = (0..u64::BITS / width)
            .map(|group| free & (low_bits(width) << (group * width)))
            .filter(|candidate| candidate.count_ones() >= count)
            .min_by_key(|candidate| candidate.count_ones());
        if let Some(candidate) = best {
            return lowest_bits(candidate, count);
        }
        width *= 2;
    }
    lowest_bits(free, count)
}

fn lowest_bits(mut source: u64, count: u32) -> u64 {
    let mut selected = 0;
    for _ in 0..count {
        let bit = source & source.wrapping_neg();
        selected |= bit;
        source &= !bit;
    }
    selected
}
