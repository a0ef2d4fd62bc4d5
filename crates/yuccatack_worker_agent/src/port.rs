//! What the agent needs of its worker.

use std::future::Future;
use std::sync::Arc;

use yuccatack_core::{DurationMs, WorkerName};
use yuccatack_dispatch::{EndedRun, RunningRun, StartResult, WorkerState};
use yuccatack_runs::{RunId, WorkerIncarnation};

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement {
    /// It is there, in this state.
    Present {
        /// The worker.
        state: WorkerState,
        /// Numbers the announcements of one incarnation, so that a late one can be told.
        sequence: u64,
    },
    /// It leaves now.
    Left(WorkerName),
}

/// A run to begin.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The incarnation that may carry it out.
    pub incarnation: WorkerIncarnation,
    /// The fencing token of the leader that ordered it.
    pub token: u64,
    /// The run.
    pub run: RunId,
    /// What to run.
    pub payload: Arc<str>,
    /// The lease, by the worker's clock.
    pub until_clock_ms: u64,
    /// The progress to resume from.
    pub checkpoint: Option<Arc<str>>,
}

/// A run to stop.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// The incarnation that may carry it out.
    pub incarnation: WorkerIncarnation,
    /// The fencing token of the leader that ordered it.
    pub token: u64,
    /// The run.
    pub run: RunId,
}

/// A look at the worker, and a renewal of its lease.
#[derive(Clone, Debug)]
pub struct PollCall {
    /// The incarnation that may carry it out.
    pub incarnation: WorkerIncarnation,
    /// The fencing token of the newest leader.
    pub token: u64,
    /// The lease, by the worker's clock, if the leader renewed it.
    pub until_clock_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub acknowledged_end: u64,
    /// How long the worker may wait for a run to end before it answers.
    pub wait_ms: DurationMs,
}

/// What became of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopResult {
    /// The run stops or has stopped, and cannot begin any more.
    Confirmed,
    /// The worker refused.
    Refused,
    /// There was no answer.
    Unknown,
}

/// What a look at the worker showed.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// The worker answered.
    Answered(PollResponse),
    /// Another incarnation of the worker answered.
    OtherIncarnation,
    /// The worker refused or did not answer.
    Failed,
}

/// What runs and what has ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResponse {
    /// When the answering incarnation began, by its time of day, if it says so.
    pub started_at_unix_ms: Option<u64>,
    /// The worker's steady clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What has ended and was not noted.
    pub ended: Vec<EndedRun>,
}

/// The calls to a worker. Each call ends by itself, with an unknown result after a time limit.
pub trait WorkerPort: Send + Sync + 'static {
    /// Begins a run.
    fn start(&self, call: StartCall) -> impl Future<Output = StartResult> + Send;

    /// Stops a run, and bars it if it has not begun.
    fn stop(&self, call: StopCall) -> impl Future<Output = StopResult> + Send;

    /// Looks at the worker and renews its lease.
    fn poll(&self, call: PollCall) -> impl Future<Output = PollResult> + Send;
}
