//! Speed classes on which a group with slack is tried.
//!
//! Answers work with slack beside urgent gangs: on slow workers it still meets its objective, and the
//! fast ones stay free for urgent gangs. A gang whose members are about equally fast keeps no fast
//! worker waiting for a slow one. No group waits for a speed: the last range holds all workers.

use crate::speed_range::{SPEED_MARGIN, SpeedRange};

/// Returns the ranges in the order in which they are tried: each class that meets the objective, the
/// slowest first, then all of these together, then all workers.
///
/// `classes` are the speeds of the classes, the fastest first; `needed_speed` is the speed that the
/// objective needs.
pub(crate) fn slack_ranges(classes: &[f64], needed_speed: f64) -> Vec<SpeedRange> {
    let met_count = classes.iter().filter(|class| **class >= needed_speed * SPEED_MARGIN).count();
    let mut ranges: Vec<SpeedRange> =
        (0..met_count).rev().map(|class| SpeedRange::new(class, class)).collect();
    if met_count > 1 {
        ranges.push(SpeedRange::new(0, met_count - 1));
    }
    ranges.push(SpeedRange::ALL);
    ranges
}
