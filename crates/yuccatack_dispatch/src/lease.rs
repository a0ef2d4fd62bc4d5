//! Bounds on the expiry of leases, as computed from the leader's own clock.

use yuccatack_core::{DurationMs, TimestampMs};

use crate::settings::{CLOCK_SLOWDOWN_PERCENT, LEASE_MARGIN_MS};

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// Monotonic clock of the worker when it sent the reading.
    pub clock_ms: u64,
    /// Monotonic clock of the leader when the reading arrived.
    pub received_at: TimestampMs,
}

impl ClockReading {
    /// Returns the latest time at which the worker's clock passes `until_clock_ms`.
    ///
    /// The clock was read before the reading arrived, so it can only be further ahead by then.
    pub fn latest_expiry(&self, until_clock_ms: u64) -> TimestampMs {
        let left_ms = until_clock_ms.saturating_sub(self.clock_ms);
        self.received_at + max_real_duration(DurationMs::new(left_ms))
    }
}

/// Returns the longest time, with a margin, in which a worker's clock advances by `clock_span`.
pub(crate) fn max_real_duration(clock_span: DurationMs) -> DurationMs {
    let elapsed_ms = clock_span.get() * 100 / (100 - CLOCK_SLOWDOWN_PERCENT) + 1;
    DurationMs::new(elapsed_ms) + LEASE_MARGIN_MS
}
