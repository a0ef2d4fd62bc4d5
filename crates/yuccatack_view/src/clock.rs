//! Monotonic clock that counts in millisecond timestamps.

use std::time::Instant;

use yuccatack_core::prelude::*;

/// Counts the milliseconds since its start, including the time for which a signal suspends the
/// process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimestampMs {
        self.timestamp(Instant::now())
    }

    /// Converts `instant` to a timestamp, rounded down.
    pub fn timestamp(&self, instant: Instant) -> TimestampMs {
        let elapsed = instant.saturating_duration_since(self.origin);
        TimestampMs::new(DurationMs::from(elapsed).get())
    }

    /// Converts a timestamp of this clock to an instant.
    pub fn instant(&self, timestamp: TimestampMs) -> Instant {
        self.origin + std::time::Duration::from_millis(timestamp.get())
    }
}
