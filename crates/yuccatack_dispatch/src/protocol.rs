//! What agents and the leader tell each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DataCentreName, DurationMs, Resources, ServiceName};
use yuccatack_runs::{RunId, RunOutcome, WorkerIncarnation};

/// What an agent reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The worker announced itself, or something about it changed.
    State(WorkerState),
    /// What the worker ran at one moment.
    Observed(Observation),
    /// What became of a start.
    Start(RunId, StartResult),
    /// The worker has left; everything that ran on it is over.
    Left(WorkerIncarnation),
}

/// A worker as it announces itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Which incarnation of the worker speaks.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The pool that the worker belongs to.
    pub service: ServiceName,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind, its rack and whatever else it is labelled with.
    pub labels: Vec<Arc<str>>,
    /// The last label, which names the rack.
    pub rack: Option<Arc<str>>,
    /// Whether it leaves and takes no new work.
    pub draining: bool,
    /// How long it stays at least, while it drains.
    pub remaining_ms: Option<DurationMs>,
}

/// What a worker ran at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Which incarnation of the worker answered.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The worker's steady clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What has ended and was not noted yet, in the order of the numbers.
    pub ended: Vec<EndedRun>,
    /// Runs that the worker was told to stop and confirmed before it was observed.
    pub stopped: Vec<RunId>,
}

/// A run at work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningRun {
    /// The run.
    pub run: RunId,
    /// Its newest saved progress.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done, or whether a long-running one is at work.
    pub percent: u8,
    /// A rough figure of the last half second: the tail latency in milliseconds of a task that
    /// serves users, otherwise the thousandths of a core in use.
    pub load: Option<u64>,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Numbers the ends of the worker's incarnation from 1.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// What it saved.
    pub checkpoint: Option<Arc<str>>,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StartResult {
    /// The run has begun.
    Begun,
    /// The worker has no room.
    NoRoom,
    /// The worker refused for another reason, and has done nothing.
    Refused,
    /// There was no answer; the start may still be carried out.
    Unknown,
}

/// What the leader tells an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The leader's fencing token; orders of a lower one are void.
    pub token: u64,
    /// The incarnation that the orders are for; any other must not get them.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Ends up to this number are stored and may be forgotten.
    #[serde(rename = "noted_end")]
    pub acknowledged_end: u64,
    /// A renewed lease: when everything on the worker stops unless it is renewed again, by the
    /// worker's clock.
    pub lease_until_clock_ms: Option<u64>,
    /// Runs to begin.
    pub starts: Vec<StartOrder>,
    /// Runs to stop, and to bar if they have not begun.
    pub stops: Vec<RunId>,
}

/// A run to begin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// What to run.
    pub payload: Arc<str>,
    /// The lease that comes with it, by the worker's clock.
    pub until_clock_ms: u64,
    /// The progress to resume from.
    pub checkpoint: Option<Arc<str>>,
}
