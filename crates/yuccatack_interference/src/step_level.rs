//! Typical rate of the runs of one step, with which whole runs are compared.

use std::collections::VecDeque;

use yuccatack_core::TimestampMs;

/// Number of runs that the typical rate is taken from.
const MAX_LEVEL_COUNT: usize = 32;

/// Number of runs from which a step has a typical rate.
const MIN_LEVEL_COUNT: usize = 3;

/// Ratio of the variance of a median to that of a mean.
const MEDIAN_VARIANCE_FACTOR: f64 = 1.57;

/// Distribution of the log rate that a run would have without neighbours.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Level {
    pub log_rate: f64,
    pub variance: f64,
}

/// Log rates of the latest runs of a step, corrected by the speeds of their machines and by their
/// neighbours.
#[derive(Debug)]
pub(crate) struct StepLevels {
    levels: VecDeque<f64>,
    pub last_run_at: TimestampMs,
}

impl StepLevels {
    pub fn new(now: TimestampMs) -> Self {
        Self { levels: VecDeque::new(), last_run_at: now }
    }

    pub fn add(&mut self, log_rate: f64, now: TimestampMs) {
        if self.levels.len() >= MAX_LEVEL_COUNT {
            self.levels.pop_front();
        }
        self.levels.push_back(log_rate);
        self.last_run_at = now;
    }

    /// Returns the expected level of another run; `None` until enough runs have ended. The median
    /// is not moved by single runs that take several times as long.
    pub fn expected(&self, run_variance: f64) -> Option<Level> {
        let count = self.levels.len();
        if count < MIN_LEVEL_COUNT {
            return None;
        }
        let mut levels: Vec<f64> = self.levels.iter().copied().collect();
        let (_, median, _) = levels.select_nth_unstable_by(count / 2, f64::total_cmp);
        let variance = run_variance * (1.0 + MEDIAN_VARIANCE_FACTOR / count as f64);
        Some(Level { log_rate: *median, variance })
    }
}
