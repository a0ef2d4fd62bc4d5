//! Predicted length of a job.

use yuccatack_core::DurationMs;
use yuccatack_runs::{Job, JobSubmission};

use crate::run_time::RunTimes;

/// Multiple of its objective after which a job has no value.
const OVERDUE_FACTOR: u64 = 3;

/// Predicted lengths of the chains of steps of a job.
#[derive(Debug)]
pub(crate) struct Forecast {
    /// Length of the longest chain that begins with each step.
    chains_ms: Vec<u64>,
    /// Length of the longest chain of all.
    longest_ms: u64,
}

impl Forecast {
    /// Predicts the chains of a job, in time linear in its steps and their dependencies.
    pub fn new(job: &Job, run_times: &RunTimes) -> Self {
        let steps = &job.submission.spec.steps;
        let mut chains_ms = vec![0u64; steps.len()];
        // Steps depend on earlier ones only. Until its turn, the entry of a step is the longest of
        // the chains that follow it.
        for (index, spec) in steps.iter().enumerate().rev() {
            let run_time_ms = run_times.predict(&job.submission.queue, spec);
            let chain_ms = run_time_ms.get().saturating_add(chains_ms[index]);
            chains_ms[index] = chain_ms;
            for after in &spec.after {
                let after = *after as usize;
                if after < index {
                    chains_ms[after] = chains_ms[after].max(chain_ms);
                }
            }
        }
        let longest_ms = chains_ms.iter().copied().max().unwrap_or(0);
        Self { chains_ms, longest_ms }
    }

    /// Returns the length of the longest chain that begins with a step.
    pub fn chain_ms(&self, step: u32) -> u64 {
        self.chains_ms.get(step as usize).copied().unwrap_or(0)
    }

    pub fn longest_ms(&self) -> u64 {
        self.longest_ms
    }
}

/// Returns the time from its acceptance in which a job meets its objective, given the length of its
/// longest chain.
pub(crate) fn objective(submission: &JobSubmission, longest_ms: u64) -> DurationMs {
    // The conversion saturates. Below 2^53, the float holds whole milliseconds exactly.
    let stretched_ms = (longest_ms as f64 * submission.stretch.max(1.0)) as u64;
    DurationMs::new(stretched_ms.saturating_add(submission.allowance_ms.get()))
}

/// Returns the time from its acceptance after which completing a job has no value.
pub(crate) fn value_end(submission: &JobSubmission, longest_ms: u64) -> DurationMs {
    let objective_ms = objective(submission, longest_ms).get();
    DurationMs::new(objective_ms.saturating_mul(OVERDUE_FACTOR))
}
