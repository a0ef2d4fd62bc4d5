//! Where the tasks of a unit fit.

use std::collections::BTreeSet;
use std::sync::Arc;

use yuccatack_core::{FastHashMap, Resources};
use yuccatack_runs::{RunId, RunStart, TaskId};

use crate::capacity::{Slot, footprint, subtract};
use crate::demand::Unit;

/// The place of each task of a unit: an index into the slots.
pub(crate) type Placement = Vec<usize>;

/// Which free capacity counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Room {
    /// What nothing uses now.
    Now,
    /// What nothing uses once everything that is being stopped has ended.
    Soon,
    /// The whole worker.
    Whole,
}

impl Room {
    fn of(self, slot: &Slot) -> Resources {
        match self {
            Self::Now => slot.free,
            Self::Soon => slot.free_soon,
            Self::Whole => slot.total,
        }
    }
}

/// Whether a worker may run tasks of the unit at all.
pub(crate) fn is_eligible(unit: &Unit<'_>, slot: &Slot) -> bool {
    let labelled =
        unit.spec.required_label.as_ref().is_none_or(|label| slot.labels.contains(label));
    labelled && slot.service == unit.job.submission.service && (slot.trusted || !unit.last_attempt)
}

/// How many more tasks of the unit's step a worker may get under the step's limit.
pub(crate) fn step_allowance(unit: &Unit<'_>, slot: &Slot) -> u32 {
    let Some(limit) = unit.spec.tasks_per_worker else { return u32::MAX };
    let of_step = |run: &&RunId| {
        run.task.job == unit.job.submission.name
            && run.task.occurrence == unit.occurrence
            && run.task.step == unit.step
    };
    let present = slot.runs.iter().filter(of_step).count();
    limit.saturating_sub(u32::try_from(present).unwrap_or(u32::MAX))
}

/// The sets of workers to try, the best first.
pub(crate) fn candidate_sets(unit: &Unit<'_>, slots: &[Slot]) -> Vec<Vec<usize>> {
    let eligible: Vec<usize> =
        (0..slots.len()).filter(|at| is_eligible(unit, &slots[*at])).collect();
    let racks: BTreeSet<Option<Arc<str>>> =
        eligible.iter().map(|at| slots[*at].rack.clone()).collect();
    let in_rack = |rack: &Option<Arc<str>>| -> Vec<usize> {
        eligible.iter().copied().filter(|at| slots[*at].rack == *rack).collect()
    };
    if let Some(data_rack) = &unit.spec.data_rack {
        let near = in_rack(&Some(data_rack.clone()));
        if fits(unit, slots, &near, Room::Whole) {
            return vec![near];
        }
    }
    if unit.spec.rack_local && unit.tasks.len() > 1 {
        let sets: Vec<Vec<usize>> =
            racks.iter().map(in_rack).filter(|set| fits(unit, slots, set, Room::Whole)).collect();
        if !sets.is_empty() {
            return sets;
        }
    }
    vec![eligible]
}

fn fits(unit: &Unit<'_>, slots: &[Slot], set: &[usize], room: Room) -> bool {
    place_in(unit, slots, set, room, true).is_some()
}

/// Places the unit where it leaves the least unusable rest.
pub(crate) fn place(
    unit: &Unit<'_>,
    slots: &[Slot],
    room: Room,
    with_reserved: bool,
) -> Option<Placement> {
    let sets = candidate_sets(unit, slots);
    let placements = sets.iter().filter_map(|set| place_in(unit, slots, set, room, with_reserved));
    placements.min_by_key(|placement| leftover(placement, slots, room))
}

/// Accelerators that stay free on the chosen workers; small leftovers keep other workers whole.
fn leftover(placement: &Placement, slots: &[Slot], room: Room) -> u32 {
    let chosen: BTreeSet<usize> = placement.iter().copied().collect();
    chosen.into_iter().map(|at| room.of(&slots[at]).accelerator_count).sum()
}

/// Places each task on the fullest worker of the set that still holds it.
pub(crate) fn place_in(
    unit: &Unit<'_>,
    slots: &[Slot],
    set: &[usize],
    room: Room,
    with_reserved: bool,
) -> Option<Placement> {
    let need = footprint(unit.spec);
    let mut free: FastHashMap<usize, (Resources, u32)> = FastHashMap::default();
    for at in set {
        let kept = room != Room::Whole && slots[*at].kept && !unit.is_urgent();
        if !kept && (with_reserved || !slots[*at].reserved) {
            free.insert(*at, (room.of(&slots[*at]), step_allowance(unit, &slots[*at])));
        }
    }
    let mut placement = Vec::with_capacity(unit.tasks.len());
    for _ in &unit.tasks {
        let best = set
            .iter()
            .filter(|at| {
                free.get(at).is_some_and(|(room, allowed)| *allowed > 0 && room.contains(&need))
            })
            .min_by_key(|at| {
                let room = free[at].0;
                (room.accelerator_count, room.cores_milli, **at)
            })?;
        if let Some((room, allowed)) = free.get_mut(best) {
            *room = subtract(*room, need);
            *allowed -= 1;
        }
        placement.push(*best);
    }
    Some(placement)
}

/// Takes the room of a placement and returns the runs to begin.
pub(crate) fn occupy(unit: &Unit<'_>, placement: &Placement, slots: &mut [Slot]) -> Vec<RunStart> {
    let need = footprint(unit.spec);
    let mut starts = Vec::with_capacity(placement.len());
    for (index, at) in unit.tasks.iter().zip(placement) {
        let slot = &mut slots[*at];
        slot.free = subtract(slot.free, need);
        slot.free_soon = subtract(slot.free_soon, need);
        let task = TaskId {
            job: unit.job.submission.name.clone(),
            occurrence: unit.occurrence,
            step: unit.step,
            index: *index,
        };
        let run = RunId { task, number: unit.run_number };
        slot.runs.push(run.clone());
        starts.push(RunStart { run, incarnation: slot.incarnation.clone() });
    }
    starts
}
