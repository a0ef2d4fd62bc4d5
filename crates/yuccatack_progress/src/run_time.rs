//! Run times of the tasks of a queue, predicted from the callers' estimates and the completed runs.

use yuccatack_core::{DurationMs, FastHashMap, QueueName};

/// Variation that the estimates of a queue must show before its run times outweigh them, as a sum of
/// squared differences of logarithms. Until then a prediction is close to the estimate.
const PRIOR_VARIATION: f64 = 2.0;

/// Number of completed runs from which a queue has a typical run time.
const TYPICAL_RUN_COUNT: u32 = 10;

/// Factor over the predicted run time from which a run belongs to the long tail.
const TAIL_RATIO: f64 = 4.0;

/// Largest part of the runs of a queue that can be its long tail, as a divisor. If more runs are
/// that long, the run times of the queue have changed.
const MAX_TAIL_DIVISOR: u32 = 10;

/// Linear regression of the run times of a queue on their estimates, both as logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    count: u32,
    mean_estimate: f64,
    mean_run_time: f64,
    variation: f64,
    covariation: f64,
    /// Number of runs in the long tail, which are not part of the regression.
    tail_count: u32,
}

impl Regression {
    fn add(&mut self, estimate: f64, run_time: f64) {
        if self.is_in_tail(estimate, run_time) {
            self.tail_count += 1;
            return;
        }
        self.count += 1;
        let estimate_difference = estimate - self.mean_estimate;
        self.mean_estimate += estimate_difference / f64::from(self.count);
        self.mean_run_time += (run_time - self.mean_run_time) / f64::from(self.count);
        self.variation += estimate_difference * (estimate - self.mean_estimate);
        self.covariation += estimate_difference * (run_time - self.mean_run_time);
    }

    fn is_in_tail(&self, estimate: f64, run_time: f64) -> bool {
        self.count >= TYPICAL_RUN_COUNT
            && self.tail_count < self.count / MAX_TAIL_DIVISOR
            && run_time - self.predict(estimate) > TAIL_RATIO.ln()
    }

    fn predict(&self, estimate: f64) -> f64 {
        // A prior slope of 1 stands for estimates that are right.
        let slope = (self.covariation + PRIOR_VARIATION) / (self.variation + PRIOR_VARIATION);
        self.mean_run_time + slope * (estimate - self.mean_estimate)
    }
}

/// Predicts run times by queue. All run times are those of a machine of speed 1.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    queues: FastHashMap<QueueName, Regression>,
}

impl RunTimes {
    pub fn record(&mut self, queue: &QueueName, estimate_ms: DurationMs, run_time_ms: DurationMs) {
        let regression = self.queues.entry(queue.clone()).or_default();
        regression.add(logarithm(estimate_ms), logarithm(run_time_ms));
    }

    pub fn typical_ms(&self, queue: &QueueName) -> Option<u64> {
        let regression = self.queues.get(queue)?;
        (regression.count >= TYPICAL_RUN_COUNT).then(|| regression.mean_run_time.exp() as u64)
    }

    pub fn tail_share(&self, queue: &QueueName) -> f64 {
        let Some(regression) = self.queues.get(queue) else { return 0.0 };
        let total = regression.count.saturating_add(regression.tail_count);
        f64::from(regression.tail_count) / f64::from(total.max(1))
    }

    pub fn predict(&self, queue: &QueueName, estimate_ms: DurationMs) -> DurationMs {
        let Some(regression) = self.queues.get(queue) else { return estimate_ms };
        DurationMs::new(regression.predict(logarithm(estimate_ms)).exp() as u64)
    }
}

/// Multiplies a duration by a factor.
pub(crate) fn scale(duration_ms: DurationMs, factor: f64) -> DurationMs {
    if factor == 1.0 {
        return duration_ms;
    }
    DurationMs::new((duration_ms.get() as f64 * factor) as u64)
}

fn logarithm(duration_ms: DurationMs) -> f64 {
    (duration_ms.get().max(1) as f64).ln()
}
