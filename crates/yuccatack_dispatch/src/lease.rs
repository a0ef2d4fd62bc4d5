//! When a lease must have ended, as the leader can know it.

use yuccatack_core::{DurationMs, TimestampMs};

use crate::settings::{CLOCK_SLOW_PERCENT, LEASE_MARGIN};

/// A worker's clock and when the leader received it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// The worker's steady clock when it answered.
    pub clock_ms: u64,
    /// The leader's steady clock when the answer arrived.
    pub received_at: TimestampMs,
}

impl ClockReading {
    /// When the worker's clock has passed `until_clock_ms` for sure.
    ///
    /// The worker's clock was read before the answer arrived, so it can only be further by now.
    pub fn latest_expiry(&self, until_clock_ms: u64) -> TimestampMs {
        let left_ms = until_clock_ms.saturating_sub(self.clock_ms);
        self.received_at + longest_real_time(DurationMs::new(left_ms))
    }
}

/// The longest time in which a worker's clock advances by `span`, and the margin.
pub(crate) fn longest_real_time(span: DurationMs) -> DurationMs {
    let slowed_ms = span.get() * 100 / (100 - CLOCK_SLOW_PERCENT) + 1;
    DurationMs::new(slowed_ms) + LEASE_MARGIN
}
