//! Placement of task groups on workers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use yuccatack_core::Resources;
use yuccatack_runs::{RunId, RunStart, TaskId};

use crate::capacity::{MAX_JOB_RUN_COUNT, WorkerSnapshot, footprint, slot_count, subtract};
use crate::demand::TaskGroup;
use crate::interference::{own_slowdown_percent, slowdown_percent};
use crate::restraint::{Restraint, WaitCause, Waivers};
use crate::speed_range::SpeedRange;

/// Worker of each task of a group, as an index into the list of workers.
pub(crate) type Placement = Vec<usize>;

/// Room for tasks of one group on a worker while the group is placed.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// Index of the worker.
    worker: usize,
    remaining: Resources,
    /// Number of further tasks that the limits of the step and of the worker allow.
    allowed_count: u32,
    /// Slowdowns that a further task suffers and causes.
    slowdown_percent: u32,
    /// `true` if a run or a placed task has the image of the step.
    has_image: bool,
}

impl Room {
    fn holds(&self, need: Resources) -> bool {
        self.allowed_count > 0 && self.remaining.contains(&need)
    }

    /// Returns the number of tasks that the room holds.
    fn slot_count(&self, need: Resources) -> u64 {
        slot_count(self.remaining, need).min(u64::from(self.allowed_count))
    }
}

/// Capacity of a worker that a placement counts on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CapacityKind {
    /// Capacity that no open run occupies.
    Free,
    /// Capacity that is free once all runs that are being stopped have ended.
    FreeAfterStops,
    /// Capacity of the worker without any runs.
    Total,
}

impl CapacityKind {
    fn of(self, worker: &WorkerSnapshot) -> Resources {
        match self {
            Self::Free => worker.free,
            Self::FreeAfterStops => worker.free_after_stops,
            Self::Total => worker.total,
        }
    }
}

/// Returns `true` if a worker may run tasks of the group, regardless of its free capacity.
fn is_eligible(group: &TaskGroup<'_>, worker: &WorkerSnapshot, waivers: Waivers) -> bool {
    let has_label =
        group.spec.required_label.as_ref().is_none_or(|label| worker.labels.contains(label));
    has_label
        && worker.service == group.job.submission.service
        && (worker.reliable || !group.last_attempt || waivers.contains(Restraint::LastAttempt))
        && (!worker.quarantined || waivers.contains(Restraint::Quarantine))
}

/// Returns the sets of workers on which the group may be placed.
///
/// Prefers the rack that holds the step's data, then single racks for rack-local gangs. A rack
/// counts only if its workers that do not keep failing could hold the whole group when empty.
/// Otherwise all eligible workers form one set.
pub(crate) fn candidate_sets(
    group: &TaskGroup<'_>,
    workers: &[WorkerSnapshot],
    waivers: Waivers,
) -> Vec<Vec<usize>> {
    let eligible: Vec<usize> =
        (0..workers.len()).filter(|index| is_eligible(group, &workers[*index], waivers)).collect();
    if let Some(data_rack) = &group.spec.data_rack
        && !waivers.contains(Restraint::DataRack)
    {
        let is_near = |index: &usize| workers[*index].rack.as_ref() == Some(data_rack);
        let data_rack_workers: Vec<usize> = eligible.iter().copied().filter(is_near).collect();
        if could_hold(group, workers, &data_rack_workers) {
            return vec![data_rack_workers];
        }
    }
    if group.spec.rack_local && group.tasks.len() > 1 && !waivers.contains(Restraint::SingleRack) {
        let mut racks: BTreeMap<Option<&Arc<str>>, Vec<usize>> = BTreeMap::new();
        for index in &eligible {
            racks.entry(workers[*index].rack.as_ref()).or_default().push(*index);
        }
        let sets: Vec<Vec<usize>> =
            racks.into_values().filter(|set| could_hold(group, workers, set)).collect();
        if !sets.is_empty() {
            return sets;
        }
    }
    vec![eligible]
}

/// Returns `true` if the workers of the set that do not keep failing hold the group when empty.
fn could_hold(group: &TaskGroup<'_>, workers: &[WorkerSnapshot], set: &[usize]) -> bool {
    let dependable: Vec<usize> =
        set.iter().copied().filter(|index| !workers[*index].keeps_failing()).collect();
    let waivers = Waivers::NONE.with(Restraint::Reservation);
    place_in(group, workers, &dependable, CapacityKind::Total, waivers).is_some()
}

/// Places the group on the set of workers with the fewest accelerators left over, if possible without
/// workers that back off.
pub(crate) fn place(
    group: &TaskGroup<'_>,
    workers: &[WorkerSnapshot],
    kind: CapacityKind,
    waivers: Waivers,
) -> Option<Placement> {
    let sets = candidate_sets(group, workers, waivers);
    place_in_sets(group, workers, &sets, kind, waivers, SpeedRange::ALL)
}

/// Places the group on one of the sets, on workers of a range of speed classes.
pub(crate) fn place_in_sets(
    group: &TaskGroup<'_>,
    workers: &[WorkerSnapshot],
    sets: &[Vec<usize>],
    kind: CapacityKind,
    waivers: Waivers,
    range: SpeedRange,
) -> Option<Placement> {
    let placements = sets.iter().filter_map(|set| {
        let in_range: Vec<usize> =
            set.iter().copied().filter(|index| range.contains(&workers[*index])).collect();
        place_in(group, workers, &in_range, kind, waivers)
    });
    placements.min_by_key(|placement| placement_cost(group, placement, workers, kind))
}

/// Returns the numbers of chosen workers that back off and that are warming, the slowdowns by the
/// runs on the chosen workers, and the accelerators that are free there before the placement. Placements with small
/// leftovers keep other workers empty for large groups.
fn placement_cost(
    group: &TaskGroup<'_>,
    placement: &Placement,
    workers: &[WorkerSnapshot],
    kind: CapacityKind,
) -> (usize, usize, u32, u32) {
    let chosen: BTreeSet<usize> = placement.iter().copied().collect();
    let backing_off = chosen.iter().filter(|index| workers[**index].backing_off).count();
    let warming = chosen.iter().filter(|index| workers[**index].warming).count();
    let slowdown_percent =
        chosen.iter().map(|index| slowdown_percent(&group.slow_partners, &workers[*index].images));
    let leftover = chosen.iter().map(|index| kind.of(&workers[*index]).accelerator_count).sum();
    (backing_off, warming, slowdown_percent.sum(), leftover)
}

/// Returns the reason why a group has no placement on free capacity.
pub(crate) fn wait_cause(group: &TaskGroup<'_>, workers: &[WorkerSnapshot]) -> WaitCause {
    let fits_with = |waivers| place(group, workers, CapacityKind::Free, waivers).is_some();
    if fits_with(Waivers::NONE) {
        return WaitCause::Restrained(Restraint::Speed);
    }
    let single =
        Restraint::ALL.into_iter().find(|restraint| fits_with(Waivers::NONE.with(*restraint)));
    match single {
        Some(restraint) => WaitCause::Restrained(restraint),
        None if fits_with(Waivers::all()) => WaitCause::RestrainedBySeveral,
        None => WaitCause::NoCapacity,
    }
}

/// Places each task on the worker of the set with the least free capacity that still fits it.
fn place_in(
    group: &TaskGroup<'_>,
    workers: &[WorkerSnapshot],
    set: &[usize],
    kind: CapacityKind,
    waivers: Waivers,
) -> Option<Placement> {
    let need = footprint(group.spec);
    let mut rooms: Vec<Room> = Vec::with_capacity(set.len());
    let mut slot_count = 0u64;
    for index in set {
        let worker = &workers[*index];
        let held_back = kind != CapacityKind::Total
            && worker.held_for_urgent
            && !group.may_use_headroom
            && !waivers.contains(Restraint::Headroom);
        let reserved = worker.reserved && !waivers.contains(Restraint::Reservation);
        if held_back || reserved {
            continue;
        }
        let run_allowance = match kind {
            CapacityKind::Total => MAX_JOB_RUN_COUNT,
            CapacityKind::Free | CapacityKind::FreeAfterStops => worker.run_allowance(group),
        };
        let room = Room {
            worker: *index,
            remaining: kind.of(worker),
            allowed_count: worker.step_allowance(group).min(run_allowance),
            slowdown_percent: slowdown_percent(&group.slow_partners, &worker.images),
            has_image: worker.has_image(group.spec),
        };
        if room.holds(need) {
            slot_count += room.slot_count(need);
            rooms.push(room);
        }
    }
    if slot_count < group.tasks.len() as u64 {
        return None;
    }
    let mut ranked: BinaryHeap<Reverse<(RoomRank, usize)>> = rooms
        .iter()
        .enumerate()
        .map(|(position, room)| Reverse((room_rank(group, &workers[room.worker], room), position)))
        .collect();
    let mut placement = Vec::with_capacity(group.tasks.len());
    for _ in group.tasks.clone() {
        let Reverse((_, position)) = ranked.pop()?;
        let room = &mut rooms[position];
        placement.push(room.worker);
        room.remaining = subtract(room.remaining, need);
        room.allowed_count -= 1;
        if !room.has_image {
            room.slowdown_percent += own_slowdown_percent(group);
            room.has_image = true;
        }
        if room.holds(need) {
            ranked.push(Reverse((room_rank(group, &workers[room.worker], room), position)));
        }
    }
    Some(placement)
}

/// Order in which the workers with room for a task are chosen; the smallest comes first.
type RoomRank = (bool, bool, bool, bool, bool, u32, u32, u64, u32, usize);

fn room_rank(group: &TaskGroup<'_>, worker: &WorkerSnapshot, room: &Room) -> RoomRank {
    (
        worker.quarantined,
        group.last_attempt && !worker.reliable,
        worker.backing_off,
        worker.warming,
        // Less urgent runs last longer. Spread over all workers, they would leave no whole worker to
        // the tasks of urgent gangs.
        !group.is_urgent() && !worker.has_less_urgent,
        room.slowdown_percent,
        room.remaining.accelerator_count,
        room.remaining.cores_milli,
        worker.failure_count,
        room.worker,
    )
}

/// Deducts the capacity of a placement from its workers and returns the runs to begin.
pub(crate) fn occupy(
    group: &TaskGroup<'_>,
    placement: &Placement,
    workers: &mut [WorkerSnapshot],
) -> Vec<RunStart> {
    let mut starts = Vec::with_capacity(placement.len());
    for (task_index, index) in group.tasks.clone().zip(placement) {
        let worker = &mut workers[*index];
        let task = TaskId {
            job: group.job.submission.name.clone(),
            occurrence: group.occurrence,
            step: group.step,
            index: task_index,
        };
        let run = RunId { task, number: group.run_number };
        worker.add_run(group, run.clone());
        starts.push(RunStart { run, incarnation: worker.incarnation.clone() });
    }
    starts
}
