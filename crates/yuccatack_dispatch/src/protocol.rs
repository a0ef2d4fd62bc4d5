//! Messages between agents and the leader.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DataCentreName, DurationMs, Resources, ServiceName};
use yuccatack_runs::{RunId, RunOutcome, WorkerIncarnation};

/// Message from an agent to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The worker announced itself, or its state changed.
    State(WorkerState),
    /// Result of a poll of the worker.
    Observed(Observation),
    /// Result of a start order.
    Start(RunId, StartResult),
    /// The worker has left; all its runs are over.
    Left(WorkerIncarnation),
}

/// State of a worker, as it announces itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Incarnation of the worker that sent the announcement.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Pool that the worker belongs to.
    pub service: ServiceName,
    /// Data centre in which the worker runs.
    pub data_centre: DataCentreName,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels that steps may require, among them the worker's kind and rack.
    pub labels: Vec<Arc<str>>,
    /// Rack of the worker, which is its last label; `None` without labels.
    pub rack: Option<Arc<str>>,
    /// `true` if the worker is about to leave and takes no new work.
    pub draining: bool,
    /// Minimum time until a draining worker leaves; `None` if it is not known.
    pub remaining_ms: Option<DurationMs>,
    /// Time for which the worker remains slow after its start; `None` if it is warm. Agents of earlier
    /// versions do not tell.
    #[serde(default)]
    pub cold_left_ms: Option<DurationMs>,
}

/// Runs of a worker at the time of a poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Incarnation of the worker that answered the poll.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Monotonic clock of the worker.
    pub clock_ms: u64,
    /// Runs that are executing.
    pub running: Vec<RunningRun>,
    /// Run ends that the leader has not acknowledged yet, in ascending order of their numbers.
    pub ended: Vec<EndedRun>,
    /// Runs whose stop the worker had confirmed before the poll.
    pub stopped: Vec<RunId>,
    /// `true` if `ended` holds all ends that are not acknowledged, `false` if the worker has more of
    /// them than it lists at a time. Agents of earlier versions do not tell.
    #[serde(default)]
    pub lists_all_ends: Option<bool>,
}

impl Observation {
    /// Returns `true` if a run that is in neither list is known to be neither executing nor ended
    /// without an acknowledgement.
    pub fn is_complete(&self) -> bool {
        self.lists_all_ends.unwrap_or(self.ended.is_empty())
    }
}

/// Run that is executing on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningRun {
    /// Run and task that execute.
    pub run: RunId,
    /// Latest checkpoint of the run; `None` if it has saved none.
    pub checkpoint: Option<Arc<str>>,
    /// Completed part of the work in percent. For a long-running task, it indicates whether the
    /// task is active.
    pub percent: u8,
    /// Rough load over the last 500 ms: tail latency in milliseconds for tasks that serve users,
    /// CPU use in thousandths of a core for all others.
    pub load: Option<u64>,
}

/// Run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number of the end within the worker's incarnation, counted from 1.
    pub number: u64,
    /// Run and task that ended.
    pub run: RunId,
    /// Outcome that the worker reports.
    pub outcome: RunOutcome,
    /// Last checkpoint of the run; `None` if it saved none.
    pub checkpoint: Option<Arc<str>>,
}

/// Result of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StartResult {
    /// The run has begun.
    Begun,
    /// The worker lacks free capacity.
    NoRoom,
    /// The worker refused for another reason and did not begin the run.
    Refused,
    /// No response arrived; the start may still be carried out.
    Unknown,
}

/// Orders from the leader to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing token of the leader. An agent drops orders whose token is lower than one that it has
    /// received before.
    pub token: u64,
    /// Incarnation that the orders are for; no other one may carry them out.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Run ends up to this number are stored; the worker may drop them.
    #[serde(rename = "noted_end")]
    pub acknowledged_end: u64,
    /// Expiry of a renewed lease, by the worker's clock; all runs stop then unless it is renewed
    /// again. `None` leaves the lease as it is.
    pub lease_until_clock_ms: Option<u64>,
    /// Runs that the worker must begin.
    pub starts: Vec<StartOrder>,
    /// Runs to stop, and to bar from starting if they have not begun.
    pub stops: Vec<RunId>,
}

/// Order to begin a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Run and task to begin.
    pub run: RunId,
    /// Payload of the job, opaque to the scheduler.
    pub payload: Arc<str>,
    /// Expiry of the lease that comes with the start, by the worker's clock.
    pub until_clock_ms: u64,
    /// Checkpoint to resume from; `None` starts from the beginning.
    pub checkpoint: Option<Arc<str>>,
    /// Reading of the worker's clock from which the run must not begin any more; `None` if it may begin
    /// late. Leaders of earlier versions do not tell.
    #[serde(default)]
    pub begin_until_clock_ms: Option<u64>,
}
