//! The capacity of all workers and who holds it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::domain::FreeIndex;

/// Data centres in which room for a starved gang is sought.
const MAX_SOUGHT_CENTRES: usize = 4;
/// Workers of one data centre in which room for a starved gang is sought; half more than the
/// largest gang of 64 has tasks.
const MAX_SOUGHT_WORKERS: usize = 96;
/// Racks, or single workers, of one data centre in which room is sought.
const MAX_SOUGHT_RACKS: usize = 24;

/// The position of a worker in the cluster; reused after the worker is forgotten.
pub type WorkerIndex = u32;
/// The position of a rack in the cluster.
pub type RackIndex = u32;
/// The position of a data centre in the cluster.
pub type DataCentreIndex = u32;

/// The capacity of one worker.
///
/// Two bounds hold at all times: `used` never exceeds `total`, and on a schedulable worker `firm`
/// plus `reserved` never exceeds `total`. The second one is what makes a guarantee reclaimable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCapacity {
    /// The worker.
    pub name: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentreIndex,
    /// Its rack.
    pub rack: RackIndex,
    /// Everything it has.
    pub total: Resources,
    /// Held by attempts until their end is confirmed.
    pub used: Resources,
    /// Promised to attempts that wait for reclaimed capacity.
    pub booked: Resources,
    /// The part of `used` and `booked` that cannot be reclaimed.
    pub firm: Resources,
    /// Set aside for unclaimed guarantees; borrowers may use it.
    pub reserved: Resources,
    /// One bit for each accelerator in use.
    pub accelerator_mask: u64,
    /// Whether new work may be placed here.
    pub schedulable: bool,
}

/// The difference, with amounts that would be negative set to zero.
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
    /// What a new attempt may use at once.
    pub fn free(&self) -> Resources {
        saturating_sub(&self.total, &sum(&self.used, &self.booked))
    }

    /// What work that cannot be reclaimed may take without touching a guarantee.
    pub fn firm_headroom(&self) -> Resources {
        saturating_sub(&self.total, &sum(&self.firm, &self.reserved))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Rack {
    pub(crate) name: RackName,
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) index: FreeIndex,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DataCentre {
    pub(crate) name: DataCentreName,
    pub(crate) index: FreeIndex,
    pub(crate) racks_by_name: BTreeMap<RackName, RackIndex>,
    pub(crate) racks_by_free: BTreeMap<u64, BTreeSet<RackIndex>>,
}

/// All workers with their capacity, indexed by data centre, rack and free amount.
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
    /// Adds a schedulable worker, or returns the index of the one with this name.
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
        let cell = WorkerCapacity {
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
                self.cells[index as usize] = Some(cell);
                index
            }
            None => {
                self.cells.push(Some(cell));
                u32::try_from(self.cells.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.by_name.insert(name.clone(), index);
        self.link(index);
        index
    }

    /// Forgets a worker that holds nothing.
    pub fn remove_worker(&mut self, index: WorkerIndex) {
        self.unlink(index);
        if let Some(cell) = self.cells.get_mut(index as usize).and_then(Option::take) {
            self.by_name.remove(&cell.name);
            self.vacant.push(index);
        }
    }

    /// The index of a worker.
    pub fn worker_index(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// The capacity of a worker.
    pub fn worker(&self, index: WorkerIndex) -> Option<&WorkerCapacity> {
        self.cells.get(index as usize).and_then(Option::as_ref)
    }

    /// Every worker, in the order of their indexes.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerCapacity)> {
        self.cells
            .iter()
            .enumerate()
            .filter_map(|(index, cell)| Some((index as WorkerIndex, cell.as_ref()?)))
    }

    /// The index of a data centre that has or had workers.
    pub fn data_centre_index(&self, name: &DataCentreName) -> Option<DataCentreIndex> {
        self.data_centres_by_name.get(name).copied()
    }

    /// The number of data centres.
    pub fn data_centre_count(&self) -> u32 {
        self.data_centres.len() as u32
    }

    /// The name of a data centre.
    pub fn data_centre_name(&self, index: DataCentreIndex) -> Option<&DataCentreName> {
        self.data_centres.get(index as usize).map(|data_centre| &data_centre.name)
    }

    /// The name of a rack.
    pub fn rack_name(&self, index: RackIndex) -> Option<&RackName> {
        self.racks.get(index as usize).map(|rack| &rack.name)
    }

    /// Free accelerators on schedulable workers.
    pub fn free_accelerator_count(&self) -> u64 {
        self.data_centres.iter().map(|data_centre| data_centre.index.free_accelerator_count()).sum()
    }

    /// The domains in which a gang of this adjacency may get room soonest, as their workers with
    /// the most free accelerators first. On a large platform only the emptiest domains and
    /// workers are returned, so that the cost of a search does not grow with the platform.
    pub fn emptiest_domains(&self, adjacency: Adjacency) -> Vec<Vec<WorkerIndex>> {
        let mut centres: Vec<&DataCentre> = self.data_centres.iter().collect();
        centres.sort_by_key(|centre| std::cmp::Reverse(centre.index.free_accelerator_count()));
        match adjacency {
            Adjacency::DataCentre => centres
                .iter()
                .take(MAX_SOUGHT_CENTRES)
                .map(|centre| centre.index.emptiest().take(MAX_SOUGHT_WORKERS).collect())
                .collect(),
            Adjacency::Rack => centres
                .iter()
                .flat_map(|centre| {
                    let racks = centre.racks_by_free.values().rev().flatten();
                    racks.take(MAX_SOUGHT_RACKS)
                })
                .map(|rack| self.racks[*rack as usize].index.emptiest().collect())
                .collect(),
            Adjacency::Worker => centres
                .iter()
                .flat_map(|centre| centre.index.emptiest().take(MAX_SOUGHT_RACKS))
                .map(|worker| vec![worker])
                .collect(),
        }
    }

    /// Changes a worker's capacity and keeps the index up to date.
    pub fn update<Change>(&mut self, index: WorkerIndex, change: Change)
    where
        Change: FnOnce(&mut WorkerCapacity),
    {
        self.unlink(index);
        if let Some(cell) = self.cells.get_mut(index as usize).and_then(Option::as_mut) {
            change(cell);
        }
        self.link(index);
    }

    /// Takes `count` accelerators of a worker, out of one aligned group where possible.
    ///
    /// Aligned groups of 2, 4 and 8 share the fast links of a worker; a request that no aligned
    /// group can serve gets whatever is free.
    pub fn allocate_accelerators(&mut self, index: WorkerIndex, count: u32) -> u64 {
        let Some(cell) = self.cells.get_mut(index as usize).and_then(Option::as_mut) else {
            return 0;
        };
        let free = !cell.accelerator_mask & low_bits(cell.total.accelerator_count);
        let mask = aligned_mask(free, count);
        cell.accelerator_mask |= mask;
        mask
    }

    /// Gives accelerators of a worker back.
    pub fn release_accelerators(&mut self, index: WorkerIndex, mask: u64) {
        if let Some(cell) = self.cells.get_mut(index as usize).and_then(Option::as_mut) {
            cell.accelerator_mask &= !mask;
        }
    }

    fn intern_data_centre(&mut self, name: &DataCentreName) -> DataCentreIndex {
        if let Some(index) = self.data_centres_by_name.get(name) {
            return *index;
        }
        let index = self.data_centres.len() as DataCentreIndex;
        self.data_centres.push(DataCentre {
            name: name.clone(),
            index: FreeIndex::default(),
            racks_by_name: BTreeMap::new(),
            racks_by_free: BTreeMap::new(),
        });
        self.data_centres_by_name.insert(name.clone(), index);
        index
    }

    fn intern_rack(&mut self, data_centre: DataCentreIndex, name: &RackName) -> RackIndex {
        let next = self.racks.len() as RackIndex;
        let owner = &mut self.data_centres[data_centre as usize];
        if let Some(index) = owner.racks_by_name.get(name) {
            return *index;
        }
        owner.racks_by_name.insert(name.clone(), next);
        owner.racks_by_free.entry(0).or_default().insert(next);
        self.racks.push(Rack { name: name.clone(), data_centre, index: FreeIndex::default() });
        next
    }

    fn link(&mut self, index: WorkerIndex) {
        self.reindex(index, FreeIndex::insert);
    }

    fn unlink(&mut self, index: WorkerIndex) {
        self.reindex(index, FreeIndex::remove);
    }

    fn reindex<Change>(&mut self, index: WorkerIndex, change: Change)
    where
        Change: Fn(&mut FreeIndex, WorkerIndex, &Resources),
    {
        let Some(cell) = self.cells.get(index as usize).and_then(Option::as_ref) else { return };
        if !cell.schedulable {
            return;
        }
        let free = cell.free();
        let rack = &mut self.racks[cell.rack as usize];
        let data_centre = &mut self.data_centres[cell.data_centre as usize];
        let before = rack.index.free_accelerator_count();
        change(&mut rack.index, index, &free);
        let after = rack.index.free_accelerator_count();
        change(&mut data_centre.index, index, &free);
        if before == after {
            return;
        }
        if let Some(racks) = data_centre.racks_by_free.get_mut(&before) {
            racks.remove(&cell.rack);
            if racks.is_empty() {
                data_centre.racks_by_free.remove(&before);
            }
        }
        data_centre.racks_by_free.entry(after).or_default().insert(cell.rack);
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
            .filter(|part| part.count_ones() >= count)
            .min_by_key(|part| part.count_ones());
        if let Some(part) = best {
            return lowest_bits(part, count);
        }
        width *= 2;
    }
    lowest_bits(free, count)
}

fn lowest_bits(mut source: u64, count: u32) -> u64 {
    let mut taken = 0;
    for _ in 0..count {
        let bit = source & source.wrapping_neg();
        taken |= bit;
        source &= !bit;
    }
    taken
}
