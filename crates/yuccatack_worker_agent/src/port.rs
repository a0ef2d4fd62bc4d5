//! Interface between the agent and its worker.

use std::future::Future;
use std::sync::Arc;

use yuccatack_core::{DurationMs, WorkerName};
use yuccatack_dispatch::{EndedRun, RunningRun, StartResult, WorkerState};
use yuccatack_runs::{RunId, WorkerIncarnation};

/// Announcement that a worker sends to its agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement {
    /// The worker is up.
    Present {
        /// Identity, capacity and drain state of the worker.
        state: WorkerState,
        /// Number of the announcement within the worker's incarnation; one that arrives after a
        /// higher number is outdated.
        sequence: u64,
    },
    /// The worker shuts down.
    Left {
        /// Name of the worker, which its incarnations may share.
        worker: WorkerName,
        /// Start of the incarnation that leaves, if the worker sends it. Without it, the departure
        /// may be a late one of an earlier incarnation.
        started_at_unix_ms: Option<u64>,
    },
}

/// Call that starts a run.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// Incarnation of the worker that the call is for; any other one must reject it.
    pub incarnation: WorkerIncarnation,
    /// Fencing token of the leader that ordered it.
    pub token: u64,
    /// Run to start.
    pub run: RunId,
    /// Payload of the job, passed to the worker unchanged.
    pub payload: Arc<str>,
    /// End of the lease, by the worker's clock.
    pub until_clock_ms: u64,
    /// Checkpoint of an earlier run to resume from; `None` starts from the beginning.
    pub checkpoint: Option<Arc<str>>,
}

/// Call that stops a run.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// Incarnation of the worker that the call is for; any other one must reject it.
    pub incarnation: WorkerIncarnation,
    /// Fencing token of the leader that ordered it.
    pub token: u64,
    /// Run to stop; it may not have started yet.
    pub run: RunId,
}

/// Call that reads the state of the worker's runs and renews its lease.
#[derive(Clone, Debug)]
pub struct PollCall {
    /// Incarnation of the worker that the call is for; any other one must reject it.
    pub incarnation: WorkerIncarnation,
    /// Fencing token of the newest leader.
    pub token: u64,
    /// New end of the lease, by the worker's clock; `None` if the leader has not granted one yet.
    pub until_clock_ms: Option<u64>,
    /// Number of the last run end that the leader has stored; the worker may discard ends up to it.
    pub acknowledged_end: u64,
    /// Longest time that the worker may wait for a run to end before it responds.
    pub wait_ms: DurationMs,
}

/// Result of a [`StopCall`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopResult {
    /// The run is stopping or has stopped, and cannot start any more.
    Confirmed,
    /// The worker refused the call, and the run may go on.
    Refused,
    /// The call got no response, and the run may or may not stop.
    Unknown,
}

/// Result of a [`PollCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// The worker responded.
    Answered(PollResponse),
    /// The worker responded, but some of the listed rows cannot be read; the response lacks them.
    AnsweredInPart(PollResponse),
    /// Another incarnation of the worker responded.
    OtherIncarnation,
    /// The worker refused the call or did not respond.
    Failed,
    /// No process listens at the worker's address.
    NotListening,
}

/// State of the worker's runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResponse {
    /// Start of the responding incarnation by the worker's wall clock, if the worker sends it.
    pub started_at_unix_ms: Option<u64>,
    /// Reading of the worker's monotonic clock.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Run ends that the leader has not acknowledged.
    pub ended: Vec<EndedRun>,
    /// `true` if `ended` holds all of these ends; `false` if there may be more of them.
    pub lists_all_ends: bool,
}

/// Calls to a worker. Each one has its own timeout, after which its result is unknown.
pub trait WorkerPort: Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, call: StartCall) -> impl Future<Output = StartResult> + Send;

    /// Stops a run, or prevents it from starting if it has not started yet.
    fn stop(&self, call: StopCall) -> impl Future<Output = StopResult> + Send;

    /// Reads the state of the worker's runs and renews its lease.
    fn poll(&self, call: PollCall) -> impl Future<Output = PollResult> + Send;
}
