//! The clock of the control process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use yuccatack_core::prelude::*;

/// A clock with wall-clock time that never jumps while the process runs.
///
/// It starts at the wall-clock time, so that times in the log are comparable across leaders, and
/// advances with the monotonic clock, so that a correction of the wall clock neither shortens nor
/// extends a lease.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_at: TimestampMs,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_at = TimestampMs::default() + DurationMs::from(since_epoch);
        Self { started: Instant::now(), started_at }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimestampMs {
        self.started_at + DurationMs::from(self.started.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
