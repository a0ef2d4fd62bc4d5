//! The messages of calls and of agents' streams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, NodeName};
use yuccatack_dispatch::{AgentMessage, Orders};
use yuccatack_queues::{Acceptance, AccessError, AccessKey, Configuration};
use yuccatack_runs::{JobPhase, JobSpec};

/// Which queue, and which job of it, a caller addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallTarget {
    /// The host.
    pub host: Arc<str>,
    /// The prefix of the queue, and the name of the job unless the queue itself is meant.
    pub path: Arc<str>,
    /// What proves the caller's organisation.
    pub key: Option<AccessKey>,
}

/// What a caller, an operator or a replica asks the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Store a job.
    Submit(CallTarget, Box<JobSpec>),
    /// Tell the state of a job, or how many jobs of a queue wait.
    Read(CallTarget),
    /// Let a job begin no more work.
    Cancel(CallTarget),
    /// Put a configuration in force.
    Configure(Arc<Configuration>),
    /// Tell the configuration in force.
    ReadConfiguration,
    /// Make a replica with an empty data folder a member.
    Join {
        /// The number of the new replica.
        replica_id: u64,
        /// Where it answers.
        address: SocketAddr,
    },
    /// Tell whether there is a leader.
    Ping,
}

impl Request {
    /// Whether the request changes anything, so that one without an answer may have taken effect.
    pub const fn has_effects(&self) -> bool {
        match self {
            Self::Submit(..) | Self::Cancel(_) | Self::Configure(_) | Self::Join { .. } => true,
            Self::Read(_) | Self::ReadConfiguration | Self::Ping => false,
        }
    }
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    Job(JobPhase),
    /// How many jobs of the queue wait.
    Waiting(u64),
    /// The job begins no more work, or had ended before.
    Cancelled,
    /// What became of a configuration.
    Configured(Acceptance),
    /// The document of the configuration in force.
    Configuration(Option<Arc<str>>),
    /// The replica is a member, or becomes one.
    Joined,
    /// There is a leader.
    Pong,
    /// The caller may not do this.
    Denied(AccessError),
    /// No such job is stored.
    NoSuchJob,
    /// The request makes no sense.
    Invalid(Arc<str>),
    /// Nothing was done; worth a retry after this time.
    Busy {
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// Nothing was done, because this replica does not lead.
    NotLeader(LeaderHint),
    /// The lead was lost in the meantime; the request may or may not take effect.
    Unknown,
}

/// Where the leader may be found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The leader, if known.
    pub leader: Option<SocketAddr>,
    /// All members, as the replica knows them.
    pub members: Vec<SocketAddr>,
}

/// What an agent sends on its stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentFrame {
    /// The first frame: which node's agent this is.
    Hello(NodeName),
    /// A report.
    Report(AgentMessage),
}

/// What the leader sends on an agent's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderFrame {
    /// The leader takes reports; repeated, so that an agent notices a dead connection.
    Leading {
        /// The leader's fencing token.
        token: u64,
    },
    /// Orders for the worker.
    Orders(Orders),
    /// This replica does not lead, or not any more; the stream ends.
    NotLeader(LeaderHint),
}
