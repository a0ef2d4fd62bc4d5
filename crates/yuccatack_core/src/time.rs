//! Timestamps and durations in milliseconds.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timestamp in milliseconds on a clock of the process that reads it.
///
/// Decision code takes the current time as an argument and never reads a clock. The caller chooses
/// between the monotonic and the wall clock; a single state never mixes the two.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TimestampMs(u64);

/// Non-negative duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct DurationMs(u64);

impl TimestampMs {
    /// Creates a timestamp from milliseconds since the epoch of the clock.
    pub const fn new(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// Returns the milliseconds since the epoch of the clock.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is the later one.
    pub const fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl DurationMs {
    /// Duration of zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds.
    pub const fn new(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// Creates a duration from whole seconds, saturating at the maximum.
    pub const fn from_seconds(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// Returns the duration in milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl Add<DurationMs> for TimestampMs {
    type Output = Self;

    fn add(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<DurationMs> for TimestampMs {
    type Output = Self;

    fn sub(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl Add for DurationMs {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<DurationMs> for Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}

impl From<Duration> for DurationMs {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
