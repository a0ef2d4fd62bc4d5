//! Correction of declared run times.

use serde::{Deserialize, Serialize};
use yuccatack_core::DurationMs;

/// Older runs than this say little about the next one.
const SAMPLE_LIMIT: usize = 64;
/// With fewer runs a quantile is mostly noise, so the declared time is used.
const LEAST_SAMPLES: usize = 5;
/// A task that ends at once or hangs must not move the estimate further than this.
const RATIO_RANGE: (f32, f32) = (0.05, 20.0);

/// Measured ratios of actual to declared run time, newest last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunTimeEstimate {
    ratios: Vec<f32>,
}

impl RunTimeEstimate {
    /// Adds a successful run.
    pub fn record(&mut self, declared: DurationMs, actual: DurationMs) {
        let ratio = actual.get().max(1) as f32 / declared.get().max(1) as f32;
        if self.ratios.len() == SAMPLE_LIMIT {
            self.ratios.remove(0);
        }
        self.ratios.push(ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
    }

    /// The ratio that `quantile` of the runs stay below; 1 without enough runs.
    pub fn ratio(&self, quantile: f32) -> f32 {
        if self.ratios.len() < LEAST_SAMPLES {
            return 1.0;
        }
        let mut sorted = self.ratios.clone();
        sorted.sort_by(f32::total_cmp);
        let position = quantile.clamp(0.0, 1.0) * (sorted.len() - 1) as f32;
        sorted[position.round() as usize]
    }

    /// The corrected run time.
    pub fn corrected(&self, declared: DurationMs, quantile: f32) -> DurationMs {
        DurationMs::new((declared.get() as f64 * f64::from(self.ratio(quantile))) as u64)
    }
}
