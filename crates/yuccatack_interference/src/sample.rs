//! Input of the model: observations of the runs on a worker.

use std::sync::Arc;

use yuccatack_runs::RunId;

/// What shows how fast a run proceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Measure {
    /// Completed share of the run, in percent.
    Progress {
        /// Whole percents, at most 100.
        percent: u8,
    },
    /// Tail latency of a run that serves users.
    Latency {
        /// Latency over a short time before the observation, in milliseconds.
        tail_ms: u64,
    },
    /// Nothing; the run only counts as a neighbour of others.
    Unmeasured,
}

/// Run on a worker at the time of an observation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunSample {
    /// Run that executes.
    pub run: RunId,
    /// Image of the run's step.
    pub image: Arc<str>,
    /// `true` for a member of a gang. The members do equal work.
    pub gang: bool,
    /// Progress or latency of the run.
    pub measure: Measure,
}

/// Observation of all runs with an image on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSample {
    /// Time of the observation by the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Speed of the worker's machine relative to the typical one; 1 while it is unknown.
    pub speed: f64,
    /// Runs that execute.
    pub runs: Vec<RunSample>,
}
