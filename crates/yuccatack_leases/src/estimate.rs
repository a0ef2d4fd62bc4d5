//! Correction of declared run times by the run times of earlier jobs.

use serde::{Deserialize, Serialize};
use yuccatack_core::DurationMs;

/// Maximum number of samples kept, because older runs predict the next one poorly.
const MAX_SAMPLE_COUNT: usize = 64;
/// Number of samples below which a quantile is mostly noise and the declared time is used.
const MIN_SAMPLE_COUNT: usize = 5;
/// Bounds of a sample, so that a task that ends at once or hangs does not distort the estimate.
const RATIO_RANGE: (f32, f32) = (0.05, 20.0);

/// Ratios of actual to declared run time of successful jobs, newest last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunTimeEstimate {
    ratios: Vec<f32>,
}

impl RunTimeEstimate {
    /// Adds the run times of a successful job.
    pub fn record(&mut self, declared: DurationMs, actual: DurationMs) {
        let ratio = actual.get().max(1) as f32 / declared.get().max(1) as f32;
        if self.ratios.len() == MAX_SAMPLE_COUNT {
            self.ratios.remove(0);
        }
        self.ratios.push(ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
    }

    /// Returns the given quantile of the ratios, or 1 without enough samples.
    pub fn ratio(&self, quantile: f32) -> f32 {
        if self.ratios.len() < MIN_SAMPLE_COUNT {
            return 1.0;
        }
        let mut sorted = self.ratios.clone();
        sorted.sort_by(f32::total_cmp);
        let position = quantile.clamp(0.0, 1.0) * (sorted.len() - 1) as f32;
        sorted[position.round() as usize]
    }

    /// Returns the declared run time multiplied by the given quantile of the ratios.
    pub fn corrected(&self, declared: DurationMs, quantile: f32) -> DurationMs {
        DurationMs::new((declared.get() as f64 * f64::from(self.ratio(quantile))) as u64)
    }
}
