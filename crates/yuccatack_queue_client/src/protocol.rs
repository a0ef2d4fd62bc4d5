//! Messages of calls and of agents' streams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DataCentreName, DurationMs, NodeName};
use yuccatack_dispatch::{AgentMessage, Orders};
use yuccatack_queues::{Acceptance, AccessError, AccessKey, Configuration};
use yuccatack_runs::{JobPhase, JobSpec};

/// Queue, and optionally a job in it, that a caller addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallTarget {
    /// Host name of the caller's request, which selects the queue together with the path.
    pub host: Arc<str>,
    /// Path prefix of the queue, followed by the name of the job unless the queue itself is
    /// addressed.
    pub path: Arc<str>,
    /// Access key of the caller's organisation, if the caller sent one.
    pub key: Option<AccessKey>,
}

/// Request of a caller, an operator or a replica to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Stores a job.
    Submit(CallTarget, Box<JobSpec>),
    /// Reads the phase of a job, or the number of waiting jobs of a queue.
    Read(CallTarget),
    /// Cancels a job, which then starts no more runs.
    Cancel(CallTarget),
    /// Puts a configuration in force if its version is higher than the current one.
    Configure(Arc<Configuration>),
    /// Reads the document of the configuration in force.
    ReadConfiguration,
    /// Makes a replica a member of the replication group.
    Join {
        /// ID of the joining replica.
        replica_id: u64,
        /// Address at which the other replicas reach it.
        address: SocketAddr,
    },
    /// Checks that a leader responds.
    Ping,
    /// Announces that a member of the replication group stops, so that another one votes in its
    /// place. Repeated until the response shows that the replica may stop.
    Leave {
        /// ID of the member that stops.
        replica_id: u64,
    },
    /// Orders that nothing more starts in a data centre.
    Evacuate {
        /// Data centre that is evacuated.
        data_centre: DataCentreName,
    },
    /// Withdraws the evacuation of a data centre.
    Readmit {
        /// Data centre in which work may start again.
        data_centre: DataCentreName,
    },
    /// Reads which data centres are evacuated.
    ReadEvacuations,
}

impl Request {
    /// Returns `true` if the request changes state, so that one whose response is lost may have
    /// taken effect.
    pub const fn has_effects(&self) -> bool {
        match self {
            Self::Submit(..)
            | Self::Cancel(_)
            | Self::Configure(_)
            | Self::Join { .. }
            | Self::Evacuate { .. }
            | Self::Readmit { .. } => true,
            // A repeated announcement has the effect of a single one.
            Self::Read(_)
            | Self::ReadConfiguration
            | Self::Ping
            | Self::Leave { .. }
            | Self::ReadEvacuations => false,
        }
    }
}

/// Response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The job is stored.
    Accepted,
    /// Phase of the job.
    Job(JobPhase),
    /// Number of waiting jobs of the queue.
    Waiting(u64),
    /// The job starts no more runs, or had already ended.
    Cancelled,
    /// Outcome of submitting a configuration.
    Configured(Acceptance),
    /// Document of the configuration in force; `None` before the first one.
    Configuration(Option<Arc<str>>),
    /// The leader has received the join request; the replica is a member or becomes one.
    Joined,
    /// Response to a ping, which only a leader sends.
    Pong,
    /// Progress of the replacement of a member that stops.
    Leaving(LeaveProgress),
    /// The caller has no access to the queue.
    Denied(AccessError),
    /// No job of this name is stored.
    NoSuchJob,
    /// The request is invalid for the given reason.
    Invalid(Arc<str>),
    /// The request had no effect for lack of capacity and can be retried.
    Busy {
        /// Delay after which a retry may succeed.
        retry_after_ms: DurationMs,
    },
    /// The request had no effect, because this replica does not lead.
    NotLeader(LeaderHint),
    /// The replica lost the leadership meanwhile; the request may or may not take effect.
    Unknown,
    /// Evacuated data centres, after the order that the request gave, if any.
    Evacuations(Vec<DataCentreName>),
}

/// Progress of the replacement of a member that stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LeaveProgress {
    /// The replica does not vote, so its end leaves the group as it is.
    Complete,
    /// A learner is being promoted in its place.
    Replacing,
    /// No learner can take its place, so it keeps its vote.
    NoSuccessor,
}

/// Addresses at which to search for the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Address of the leader; `None` if the replica knows of none.
    pub leader: Option<SocketAddr>,
    /// Addresses of all voters and learners that the replica knows.
    pub members: Vec<SocketAddr>,
}

/// Frame from an agent to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentFrame {
    /// First frame of a stream; names the agent's node.
    Hello(NodeName),
    /// Report about the agent's worker.
    Report(AgentMessage),
}

/// Frame from the leader to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderFrame {
    /// Heartbeat of a leader, repeated so that an agent detects a dead connection.
    Leading {
        /// Fencing token of the leader; higher than that of every earlier leader.
        token: u64,
    },
    /// Orders for the agent's worker.
    Orders(Orders),
    /// Last frame of a replica that does not lead or has lost the leadership.
    NotLeader(LeaderHint),
}
