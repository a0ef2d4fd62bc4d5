//! Run times of tasks, predicted from the callers' estimates and the completed runs of the queue.

use yuccatack_core::{DurationMs, FastHashMap, QueueName};
use yuccatack_runs::{Job, StepSpec};

/// Variation that the estimates of a queue must show before its run times outweigh them, as a sum of
/// squared differences of logarithms. Until then a prediction is close to the estimate.
const PRIOR_VARIATION: f64 = 2.0;

/// Number of completed runs from which a queue has a typical run time.
const TYPICAL_RUN_COUNT: u32 = 10;

/// Linear regression of the run times of a queue on their estimates, both as logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    count: u32,
    mean_estimate: f64,
    mean_run_time: f64,
    variation: f64,
    covariation: f64,
}

impl Regression {
    fn add(&mut self, estimate: f64, run_time: f64) {
        self.count += 1;
        let estimate_difference = estimate - self.mean_estimate;
        self.mean_estimate += estimate_difference / f64::from(self.count);
        self.mean_run_time += (run_time - self.mean_run_time) / f64::from(self.count);
        self.variation += estimate_difference * (estimate - self.mean_estimate);
        self.covariation += estimate_difference * (run_time - self.mean_run_time);
    }

    fn predict(&self, estimate: f64) -> f64 {
        // A prior slope of 1 stands for estimates that are right.
        let slope = (self.covariation + PRIOR_VARIATION) / (self.variation + PRIOR_VARIATION);
        self.mean_run_time + slope * (estimate - self.mean_estimate)
    }
}

/// Predicts run times by queue.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    queues: FastHashMap<QueueName, Regression>,
}

impl RunTimes {
    /// Records the run time of a completed run.
    pub fn record(&mut self, queue: &QueueName, spec: &StepSpec, run_time_ms: DurationMs) {
        let regression = self.queues.entry(queue.clone()).or_default();
        regression.add(logarithm(spec.estimated_run_ms), logarithm(run_time_ms));
    }

    /// Returns the geometric mean of the queue's run times in milliseconds; `None` until enough runs
    /// have completed.
    pub fn typical_ms(&self, queue: &QueueName) -> Option<u64> {
        let regression = self.queues.get(queue)?;
        (regression.count >= TYPICAL_RUN_COUNT).then(|| regression.mean_run_time.exp() as u64)
    }

    /// Predicts the run time of a step's tasks.
    pub fn predict(&self, queue: &QueueName, spec: &StepSpec) -> DurationMs {
        let Some(regression) = self.queues.get(queue) else { return spec.estimated_run_ms };
        let predicted_ms = regression.predict(logarithm(spec.estimated_run_ms)).exp();
        DurationMs::new(predicted_ms as u64)
    }

    /// Predicts, for each step of a job, the length of the longest chain of steps that begins with
    /// it.
    pub fn chains_ms(&self, job: &Job) -> Vec<u64> {
        let steps = &job.submission.spec.steps;
        let mut chains_ms = vec![0u64; steps.len()];
        for index in (0..steps.len()).rev() {
            let number = u32::try_from(index).unwrap_or(u32::MAX);
            let followers =
                (index + 1..steps.len()).filter(|later| steps[*later].after.contains(&number));
            let following_ms = followers.map(|later| chains_ms[later]).max().unwrap_or(0);
            let run_time_ms = self.predict(&job.submission.queue, &steps[index]);
            chains_ms[index] = run_time_ms.get().saturating_add(following_ms);
        }
        chains_ms
    }
}

fn logarithm(duration_ms: DurationMs) -> f64 {
    (duration_ms.get().max(1) as f64).ln()
}
