//! Speed classes on which an urgent group is tried.
//!
//! Answers urgent gangs on pools with slow machines: the objective leaves half of the run time as
//! slack, and a gang runs at the speed of its slowest member, so one slow member makes the job late.
//! Members on faster workers than the slowest gain nothing.

use crate::speed_range::{SPEED_MARGIN, SpeedRange};

/// Range of speed classes for an urgent group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UrgentRange {
    pub range: SpeedRange,
    /// `true` if the group meets its objective on all workers of the range.
    pub is_fast_enough: bool,
}

/// Returns the ranges in the order in which they are tried: the classes that meet the objective with
/// a margin, those that just meet it, and then the fastest of the others.
///
/// `classes` are the speeds of the classes, the fastest first; `needed_speed` is the speed that the
/// objective needs.
pub(crate) fn urgent_ranges(classes: &[f64], needed_speed: f64) -> Vec<UrgentRange> {
    let meets = |speed: f64| classes.iter().filter(|class| **class >= speed).count();
    let (safe_count, met_count) = (meets(needed_speed * SPEED_MARGIN), meets(needed_speed));
    let up_to = |count: usize, is_fast_enough| UrgentRange {
        range: SpeedRange::new(0, count - 1),
        is_fast_enough,
    };
    let mut ranges = Vec::new();
    if safe_count > 0 {
        ranges.push(up_to(safe_count, true));
    }
    ranges.extend((safe_count + 1..=met_count).map(|count| up_to(count, true)));
    for class in met_count..classes.len() {
        // If no faster range holds the group, its speed is that of this class.
        ranges.push(UrgentRange { range: SpeedRange::new(class, class), is_fast_enough: false });
        ranges.push(up_to(class + 1, false));
    }
    ranges
}
