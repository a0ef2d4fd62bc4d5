//! Plausibility of the readings of the worker's clock.

use std::time::Duration;

use tokio::time::Instant;
use yuccatack_core::DurationMs;

/// Largest plausible reading. The clock starts with the worker, and no worker runs for 100 years.
/// The bound also keeps sums of a reading and a lease far from an overflow.
const MAX_CLOCK_MS: u64 = 100 * 365 * 24 * 3_600_000;

/// Time that a response may take to arrive, by which two readings may lie further apart than their
/// arrivals. A poll is given up after about as long.
const READING_SLACK: Duration = Duration::from_millis(1_000);

/// Fraction of the elapsed time by which the clocks of worker and agent may differ.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Reading of the worker's clock, with the time of its arrival.
#[derive(Clone, Copy, Debug)]
struct Reading {
    clock_ms: u64,
    received_at: Instant,
}

impl Reading {
    /// Returns `true` if the same clock can have shown both readings.
    fn follows(&self, earlier: &Self) -> bool {
        let elapsed = self.received_at.duration_since(earlier.received_at);
        let longest = elapsed + elapsed / CLOCK_DRIFT_DIVISOR + READING_SLACK;
        self.clock_ms
            .checked_sub(earlier.clock_ms)
            .is_some_and(|advance_ms| advance_ms <= DurationMs::from(longest).get())
    }
}

/// Check of the readings of one incarnation's clock.
///
/// A reading counts if it follows the one before it, counted or not. So a single odd one never
/// counts, not even as the first. Readings that are ahead because the agent was suspended count from
/// the second on.
#[derive(Debug, Default)]
pub(crate) struct ClockCheck {
    accepted: Option<Reading>,
    refused: Option<Reading>,
}

impl ClockCheck {
    /// Returns `true` if no reading has arrived.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_none() && self.refused.is_none()
    }

    /// Returns `true` if a reading has counted.
    pub fn has_accepted(&self) -> bool {
        self.accepted.is_some()
    }

    /// Returns the time at which the worker's clock shows `clock_ms`, or an earlier one if it has shown
    /// that. Returns `None` before a reading has counted.
    pub fn time_of(&self, clock_ms: u64) -> Option<Instant> {
        let Reading { clock_ms: read_ms, received_at } = self.accepted?;
        let left_ms = clock_ms.saturating_sub(read_ms).min(MAX_CLOCK_MS);
        Some(received_at + Duration::from_millis(left_ms))
    }

    /// Returns `true` if the reading counts.
    pub fn accept(&mut self, clock_ms: u64, received_at: Instant) -> bool {
        let reading = Reading { clock_ms, received_at };
        let known = [&self.accepted, &self.refused];
        let follows = clock_ms <= MAX_CLOCK_MS
            && known.into_iter().flatten().any(|earlier| reading.follows(earlier));
        if follows {
            *self = Self { accepted: Some(reading), refused: None };
        } else {
            self.refused = Some(reading);
        }
        follows
    }
}
