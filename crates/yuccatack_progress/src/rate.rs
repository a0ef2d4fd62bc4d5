//! Rate of progress of one run.

/// Growth from which a run has a rate, in percentage points. Progress is reported in whole percents.
const MIN_GROWTH_PERCENT: u8 = 10;

/// Standard deviation of the error that whole percents cause in a growth, in percentage points.
const ROUNDING_DEVIATION_PERCENT: f64 = 0.6;

/// Progress at a time of the worker's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    percent: u8,
    clock_ms: u64,
}

/// Logarithm of a rate of progress, and its measurement error.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogRate {
    /// Natural logarithm of the rate in percentage points per millisecond.
    pub value: f64,
    /// Variance of `value` because of rounding.
    pub variance: f64,
    /// Growth that the rate is based on, in percentage points.
    pub growth_percent: u8,
}

/// Measures the rate of progress of a run from its observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateMeter {
    first_percent: u8,
    /// Reading from which the growth counts.
    baseline: Reading,
    /// First reading at the latest percentage below 100.
    latest: Reading,
}

impl RateMeter {
    pub fn new(percent: u8, clock_ms: u64) -> Self {
        let reading = Reading { percent, clock_ms };
        Self { first_percent: percent, baseline: reading, latest: reading }
    }

    /// Adds an observation. One at 100 percent has no effect: a member of a gang stays there until
    /// the slowest member arrives.
    pub fn record(&mut self, percent: u8, clock_ms: u64) {
        if percent >= 100 || clock_ms <= self.baseline.clock_ms {
            return;
        }
        let reading = Reading { percent, clock_ms };
        if percent < self.latest.percent {
            *self = Self::new(percent, clock_ms);
            return;
        }
        // A run that has not begun to progress may wait for the other members of its gang. After
        // that, the moment at which the percentage rises is more precise than any later reading.
        let is_idle = percent == self.first_percent;
        let is_first_rise =
            percent == self.first_percent + 1 && self.baseline.percent == self.first_percent;
        if is_idle || is_first_rise {
            self.baseline = reading;
            self.latest = reading;
        } else if percent > self.latest.percent {
            self.latest = reading;
        }
    }

    /// Returns the rate since the run began to progress; `None` until it has progressed far enough.
    pub fn log_rate(&self) -> Option<LogRate> {
        let growth_percent = self.latest.percent.checked_sub(self.baseline.percent)?;
        let elapsed_ms = self.latest.clock_ms.saturating_sub(self.baseline.clock_ms);
        if growth_percent < MIN_GROWTH_PERCENT || elapsed_ms == 0 {
            return None;
        }
        let growth = f64::from(growth_percent);
        Some(LogRate {
            value: (growth / elapsed_ms as f64).ln(),
            variance: (ROUNDING_DEVIATION_PERCENT / growth).powi(2),
            growth_percent,
        })
    }
}
