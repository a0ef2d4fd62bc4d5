//! The monotonic clock of a process as timestamps.

use std::time::Instant;

use yuccatack_core::prelude::*;

/// Counts milliseconds from its start; it goes on while the process is suspended by a signal.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> TimestampMs {
        self.timestamp(Instant::now())
    }

    /// The time at `instant`, rounded down.
    pub fn timestamp(&self, instant: Instant) -> TimestampMs {
        let elapsed = instant.saturating_duration_since(self.origin);
        TimestampMs::new(DurationMs::from(elapsed).get())
    }

    /// The instant of a time.
    pub fn instant(&self, timestamp: TimestampMs) -> Instant {
        self.origin + std::time::Duration::from_millis(timestamp.get())
    }
}
