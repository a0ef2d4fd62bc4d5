//! Time that a run spent beside the same other images, and what was measured meanwhile.

use std::sync::Arc;

/// Progress in percent that an exposure must show to count. Progress is reported in whole percents.
const MIN_GAIN_PERCENT: u32 = 4;

/// Number of latency samples that an exposure must have to count.
const MIN_LATENCY_SAMPLE_COUNT: u32 = 8;

/// Variance of the log rate of one run under unchanged conditions.
const RATE_VARIANCE: f64 = 0.002_5;

/// Variance of the difference of two readings in whole percents, in squared percents.
const ROUNDING_VARIANCE: f64 = 0.17;

/// Variance of the log latency over several seconds, since the demand of users changes.
const LATENCY_VARIANCE: f64 = 0.02;

/// Variance of a single log latency. Each covers 500 ms, so that about four samples share it.
const LATENCY_SAMPLE_VARIANCE: f64 = 0.36;

/// Measurements of one run beside the same other images.
#[derive(Debug)]
pub(crate) struct Exposure {
    /// Other images on the worker, sorted.
    pub neighbours: Vec<Arc<str>>,
    gain_percent: u32,
    duration_ms: u64,
    /// Number of separate periods, each of which adds an error of rounding.
    period_count: u32,
    latency_sample_count: u32,
    log_latency_sum: f64,
}

/// Log rate of a run beside other images.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub neighbours: Vec<Arc<str>>,
    pub log_rate: f64,
    pub variance: f64,
    /// Weight in a mean over the observations of a run.
    pub weight: f64,
}

impl Exposure {
    pub fn new(neighbours: &[Arc<str>]) -> Self {
        Self {
            neighbours: neighbours.to_vec(),
            gain_percent: 0,
            duration_ms: 0,
            period_count: 0,
            latency_sample_count: 0,
            log_latency_sum: 0.0,
        }
    }

    pub fn begin_period(&mut self) {
        self.period_count = self.period_count.saturating_add(1);
    }

    pub fn add_progress(&mut self, gain_percent: u32, duration_ms: u64) {
        self.gain_percent = self.gain_percent.saturating_add(gain_percent);
        self.duration_ms = self.duration_ms.saturating_add(duration_ms);
    }

    pub fn add_latency(&mut self, tail_ms: u64) {
        self.latency_sample_count = self.latency_sample_count.saturating_add(1);
        self.log_latency_sum += (tail_ms.max(1) as f64).ln();
    }

    pub fn latency_sample_count(&self) -> u32 {
        self.latency_sample_count
    }

    /// Returns the log rate; `None` if too little was measured. The rate of a run that serves users
    /// is the reciprocal of its latency.
    pub fn observation(&self) -> Option<Observation> {
        let (log_rate, variance, weight) = if self.latency_sample_count > 0 {
            if self.latency_sample_count < MIN_LATENCY_SAMPLE_COUNT {
                return None;
            }
            let count = f64::from(self.latency_sample_count);
            let variance = LATENCY_VARIANCE + LATENCY_SAMPLE_VARIANCE / count;
            (-self.log_latency_sum / count, variance, count)
        } else {
            if self.gain_percent < MIN_GAIN_PERCENT || self.duration_ms == 0 {
                return None;
            }
            let (gain, duration_ms) = (f64::from(self.gain_percent), self.duration_ms as f64);
            let rounding = f64::from(self.period_count.max(1)) * ROUNDING_VARIANCE / (gain * gain);
            ((gain / duration_ms).ln(), RATE_VARIANCE + rounding, duration_ms)
        };
        Some(Observation { neighbours: self.neighbours.clone(), log_rate, variance, weight })
    }
}
