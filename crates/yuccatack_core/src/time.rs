//! Points and spans of time in milliseconds.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the clock of the process that reads it, in milliseconds.
///
/// Decisions take the current time as an argument and never read a clock. Whether the clock is
/// monotonic or the wall clock is up to the caller; the two are never mixed in one state.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TimestampMs(u64);

/// A span of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct DurationMs(u64);

impl TimestampMs {
    /// Wraps the raw number of milliseconds.
    pub const fn new(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// The raw number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl DurationMs {
    /// No time.
    pub const ZERO: Self = Self(0);

    /// Wraps the raw number of milliseconds.
    pub const fn new(milliseconds: u64) -> Self {
        Self(milliseconds)
    }

    /// A whole number of seconds.
    pub const fn from_seconds(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// The raw number of milliseconds.
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
