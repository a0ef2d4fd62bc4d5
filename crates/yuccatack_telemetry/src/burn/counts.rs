//! Event counts and a ring buffer of counts per time slot.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, TimestampMs};

/// Number of events and of the good events among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of good events.
    pub good: u32,
    /// Number of all events, good and bad.
    pub total: u32,
}

impl Counts {
    /// Returns the ratio of the share of bad events to the share that the target permits; 0 without
    /// events.
    pub fn burn_rate(&self, target_ratio: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = f64::from(self.total.saturating_sub(self.good));
        bad / f64::from(self.total) / (1.0 - target_ratio)
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.total = self.total.saturating_add(other.total);
    }
}

/// Ring buffer of the counts of the latest time slots; older slots are overwritten.
#[derive(Clone, Debug)]
pub(super) struct SlotRing {
    slot_duration: DurationMs,
    slots: Box<[Counts]>,
    /// Number of the newest slot, counted from the start of the clock.
    newest: u64,
}

impl SlotRing {
    pub(super) fn new(slot_duration: DurationMs, slot_count: usize, now: TimestampMs) -> Self {
        let slots = vec![Counts::default(); slot_count].into_boxed_slice();
        Self { slot_duration, slots, newest: now.get() / slot_duration.get() }
    }

    /// Adds `counts` to the slot of `now`.
    pub(super) fn add(&mut self, counts: Counts, now: TimestampMs) {
        self.advance(now);
        let index = self.index(self.newest);
        self.slots[index] += counts;
    }

    /// Advances to the slot of `now` and clears the slots in between.
    pub(super) fn advance(&mut self, now: TimestampMs) {
        let current = now.get() / self.slot_duration.get();
        let skipped = current.saturating_sub(self.newest).min(self.slots.len() as u64);
        for number in 0..skipped {
            let index = self.index(current - number);
            self.slots[index] = Counts::default();
        }
        self.newest = self.newest.max(current);
    }

    /// Returns the sum of the slots in a window, the current slot included.
    pub(super) fn sum(&self, window: DurationMs) -> Counts {
        let slot_count = window.get() / self.slot_duration.get();
        let mut sum = Counts::default();
        self.latest(slot_count).for_each(|counts| sum += counts);
        sum
    }

    /// Returns the latest slots, oldest first.
    pub(super) fn latest(&self, slot_count: u64) -> impl Iterator<Item = Counts> {
        let slot_count = slot_count.min(self.slots.len() as u64);
        let oldest = (self.newest + 1).saturating_sub(slot_count);
        (oldest..=self.newest).map(|number| self.slots[self.index(number)])
    }

    fn index(&self, number: u64) -> usize {
        (number % self.slots.len() as u64) as usize
    }
}
