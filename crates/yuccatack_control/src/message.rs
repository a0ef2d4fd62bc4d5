//! The messages of the control actor.

use bytes::Bytes;
use ractor::RpcReplyPort;
use yuccatack_core::prelude::*;
use yuccatack_records::{Change, ChangeOutcome, RecordKey, RecordKind, StoredRecord};
use yuccatack_replication::Committed;
use yuccatack_requests::claims::{ClaimCommand, ClaimOutcome};

use crate::error::ControlFailure;

/// The answer to a call, or why this replica cannot give it.
pub type Reply<Answer> = RpcReplyPort<Result<Answer, ControlFailure>>;

/// What the control actor receives.
#[derive(Debug)]
pub enum ControlMessage {
    /// The replicated log delivered something.
    Committed(Committed),
    /// Time has passed; the leader looks for work to schedule.
    Tick,
    /// An operator changes a record.
    SubmitChange {
        /// The change.
        change: Change,
        /// Takes the outcome once the change is committed.
        reply: Reply<ChangeOutcome>,
    },
    /// An operator asks for something that is read at the newest committed state.
    Read {
        /// What is read.
        query: Query,
        /// Takes the answer.
        reply: Reply<QueryAnswer>,
    },
    /// An entry claims or settles a caller key.
    Claim {
        /// The command.
        command: ClaimCommand,
        /// Takes the outcome once the command is committed.
        reply: Reply<ClaimOutcome>,
    },
    /// A worker reports; the answer carries its commands.
    Heartbeat {
        /// The worker named in the path.
        worker: WorkerName,
        /// The report as JSON.
        body_json: Bytes,
        /// Takes the JSON of the answer.
        reply: Reply<HeartbeatAnswer>,
    },
    /// The process is stopping: leadership is handed over and waiting calls are answered.
    Drain {
        /// Told when the handover was tried.
        reply: RpcReplyPort<()>,
    },
    /// Asks how many calls wait for the log.
    WaitingCount {
        /// Takes the number.
        reply: RpcReplyPort<usize>,
    },
}

/// A read of the replicated state.
#[derive(Clone, Debug)]
pub enum Query {
    /// One record.
    Record(RecordKind, RecordName),
    /// All records of a kind.
    Records(RecordKind),
    /// The outcome of a change and the nodes that do not apply it yet.
    Change(ChangeId),
    /// Replicas, nodes, workers, minions and guarantees.
    Status,
    /// Why a job waits or was refused.
    Job(JobName),
}

/// The answer to a [`Query`].
#[derive(Clone, Debug)]
pub enum QueryAnswer {
    /// The record, if there is one.
    Record(Option<(RecordKey, StoredRecord)>),
    /// The records in order of name.
    Records(Vec<(RecordKey, StoredRecord)>),
    /// What became of a change.
    Change(ChangeStatus),
    /// A JSON document for people and programs.
    Document(serde_json::Value),
}

/// What became of a change.
#[derive(Clone, Debug)]
pub struct ChangeStatus {
    /// The first answer, unless the change id is unknown.
    pub outcome: Option<ChangeOutcome>,
    /// Whether every node applies the change or has stopped starting work.
    pub in_force_everywhere: bool,
    /// The nodes that neither apply it nor have stopped.
    pub missing_nodes: Vec<NodeName>,
}

/// The answer to a worker.
#[derive(Clone, Debug)]
pub struct HeartbeatAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body_json: Bytes,
}

impl From<Committed> for ControlMessage {
    fn from(item: Committed) -> Self {
        Self::Committed(item)
    }
}
