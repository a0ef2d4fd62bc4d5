//! Predicted run times of the steps of jobs.

use yuccatack_core::{DurationMs, NodeName, QueueName};
use yuccatack_progress::ProgressModel;
use yuccatack_runs::StepSpec;

/// Speed of the typical machine.
const TYPICAL_SPEED: f64 = 1.0;

/// Predicts run times with the progress model.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    pub model: ProgressModel,
}

impl RunTimes {
    /// Records the run time of a completed run. `speed` is that of the slowest machine on which a
    /// member of the run's gang executed.
    pub fn record(
        &mut self,
        queue: &QueueName,
        spec: &StepSpec,
        run_time_ms: DurationMs,
        speed: f64,
    ) {
        self.model.on_run_time(queue, spec.estimated_run_ms, run_time_ms, speed);
    }

    /// Returns the geometric mean of the queue's run times on the typical machine in milliseconds;
    /// `None` until enough runs have completed.
    pub fn typical_ms(&self, queue: &QueueName) -> Option<u64> {
        self.model.typical_ms(queue)
    }

    /// Returns the speed of a machine relative to the typical one; 1 while unknown.
    pub fn speed(&self, node: &NodeName) -> f64 {
        self.model.speed(node)
    }

    /// Predicts the run time of a step's tasks on the typical machine.
    pub fn predict(&self, queue: &QueueName, spec: &StepSpec) -> DurationMs {
        self.model.predict(queue, spec.estimated_run_ms, TYPICAL_SPEED)
    }

    /// Predicts the run time of a step's tasks on a machine.
    pub fn predict_on(&self, node: &NodeName, queue: &QueueName, spec: &StepSpec) -> DurationMs {
        self.model.predict(queue, spec.estimated_run_ms, self.speed(node))
    }
}
