//! Room that stays free for urgent work, so that it begins without an eviction.
//!
//! An eviction takes up to the stop limit, which is most of the time that the objective of a short
//! urgent job leaves beyond its work.

use std::cmp::Reverse;
use std::sync::Arc;

use yuccatack_core::{FastHashMap, TimestampMs};
use yuccatack_runs::JobTable;

use crate::capacity::Slot;

/// The time over which the use by urgent work is averaged, several times the length of an urgent
/// task.
const AVERAGING_TIME_MS: f64 = 8_000.0;

/// The part of the average use by urgent work that is kept free. An urgent job uses its room for a
/// few seconds, so that about this part of it arrives during one eviction.
const HEADROOM_SHARE: f64 = 0.4;

/// Follows how much urgent work uses.
#[derive(Debug, Default)]
pub(crate) struct Headroom {
    average_accelerators: f64,
    noted_at: TimestampMs,
}

impl Headroom {
    /// Notes what urgent work uses now.
    pub fn note(&mut self, table: &JobTable, now: TimestampMs) {
        let urgent = table.open_runs().iter().filter(|(run, _)| {
            table.job(&run.task.job).is_some_and(|job| job.submission.priority == 0)
        });
        let used: f64 = urgent.map(|(_, open)| f64::from(open.demand.accelerator_count)).sum();
        let since_ms = now.since(self.noted_at).get() as f64;
        let weight = (since_ms / AVERAGING_TIME_MS).min(1.0);
        self.average_accelerators += weight * (used - self.average_accelerators);
        self.noted_at = now;
    }

    /// Keeps enough workers free of other work, those of the emptiest racks first, since most gangs
    /// need one rack.
    pub fn keep(&self, slots: &mut [Slot]) {
        let mut rack_free: FastHashMap<Option<Arc<str>>, u32> = FastHashMap::default();
        for slot in slots.iter().filter(|slot| !slot.reserved) {
            *rack_free.entry(slot.rack.clone()).or_default() += slot.free.accelerator_count;
        }
        let mut order: Vec<usize> = (0..slots.len()).filter(|at| !slots[*at].reserved).collect();
        order.sort_by_key(|at| {
            let slot = &slots[*at];
            (Reverse(rack_free[&slot.rack]), Reverse(slot.free.accelerator_count))
        });
        let mut wanted = self.average_accelerators * HEADROOM_SHARE;
        for at in order {
            if wanted < 1.0 {
                return;
            }
            slots[at].kept = true;
            wanted -= f64::from(slots[at].free.accelerator_count);
        }
    }
}
