//! Ranges of speed classes, and the placement of a group within one of them.

use crate::capacity::WorkerSnapshot;
use crate::demand::TaskGroup;
use crate::placement::{CapacityKind, Placement, candidate_sets, place, place_in_sets};
use crate::restraint::Waivers;
use crate::slack_speed::slack_ranges;
use crate::urgent_speed::{UrgentRange, urgent_ranges};

/// Factor by which a worker is preferred to be faster than the objective needs: the tasks of a step
/// differ in their work, and a gang ends with its longest task.
pub(crate) const SPEED_MARGIN: f64 = 1.2;

/// Range of speed classes; class 0 is the fastest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedRange {
    fastest_class: usize,
    slowest_class: usize,
}

impl SpeedRange {
    /// All workers.
    pub const ALL: Self = Self { fastest_class: 0, slowest_class: usize::MAX };

    /// Creates a range that contains both classes.
    pub fn new(fastest_class: usize, slowest_class: usize) -> Self {
        Self { fastest_class, slowest_class }
    }

    pub fn contains(self, worker: &WorkerSnapshot) -> bool {
        (self.fastest_class..=self.slowest_class).contains(&worker.speed_class)
    }
}

/// Placement of a group with regard to speed.
#[derive(Debug)]
pub(crate) struct SpeedPlacement {
    pub placement: Placement,
    /// `false` if the group is urgent and will miss its objective on these workers.
    pub is_fast_enough: bool,
}

/// Places a group on the first range of speed classes that holds it. `classes` are the speeds of the
/// classes of its service.
pub(crate) fn place_by_speed(
    group: &TaskGroup<'_>,
    workers: &[WorkerSnapshot],
    classes: &[f64],
    kind: CapacityKind,
    waivers: Waivers,
) -> Option<SpeedPlacement> {
    if classes.len() <= 1 || group.spec.long_running {
        let placement = place(group, workers, kind, waivers)?;
        return Some(SpeedPlacement { placement, is_fast_enough: true });
    }
    let sets = candidate_sets(group, workers, waivers);
    let needed_speed = group.needed_speed(0);
    let ranges = if group.is_urgent() {
        urgent_ranges(classes, needed_speed)
    } else {
        let with_slack = |range| UrgentRange { range, is_fast_enough: true };
        slack_ranges(classes, needed_speed).into_iter().map(with_slack).collect()
    };
    ranges.into_iter().find_map(|UrgentRange { range, is_fast_enough }| {
        let placement = place_in_sets(group, workers, &sets, kind, waivers, range)?;
        Some(SpeedPlacement { placement, is_fast_enough })
    })
}

/// Returns the classes on which an urgent group meets its objective if it begins after a delay, or
/// `None` if it meets it nowhere.
pub(crate) fn fast_enough_range(
    group: &TaskGroup<'_>,
    classes: &[f64],
    delay_ms: u64,
) -> Option<SpeedRange> {
    let needed_speed = group.needed_speed(delay_ms);
    let met_count = classes.iter().filter(|class| **class >= needed_speed).count();
    (met_count > 0).then(|| SpeedRange::new(0, met_count - 1))
}
