//! Messages to the control actor.

use bytes::Bytes;
use ractor::RpcReplyPort;
use yuccatack_core::prelude::*;
use yuccatack_records::{Change, ChangeOutcome, RecordKey, RecordKind, StoredRecord};
use yuccatack_replication::Committed;
use yuccatack_requests::claims::{ClaimCommand, ClaimOutcome};

use crate::error::CallError;

/// Port for the response to a call, or for the reason why this replica cannot serve it.
pub type Reply<Response> = RpcReplyPort<Result<Response, CallError>>;

/// A message to the control actor.
#[derive(Debug)]
pub enum ControlMessage {
    /// Delivers an entry, a snapshot, a result or a change of leadership from the replicated log.
    Committed(Committed),
    /// Runs the periodic work: scheduling on the leader, metrics on every replica.
    Tick,
    /// Changes a record for an operator.
    SubmitChange {
        /// Change to validate and apply.
        change: Change,
        /// Receives the outcome once the change is committed and applied.
        reply: Reply<ChangeOutcome>,
    },
    /// Reads from the newest committed state for an operator.
    Read {
        /// Data to read.
        query: Query,
        /// Receives the result.
        reply: Reply<QueryResponse>,
    },
    /// Claims or settles an idempotency key for an entry.
    Claim {
        /// Claim or settlement to apply.
        command: ClaimCommand,
        /// Receives the outcome once the command is committed and applied.
        reply: Reply<ClaimOutcome>,
    },
    /// Handles the heartbeat of a worker; the response carries the commands for the worker.
    Heartbeat {
        /// Worker that is named in the path of the request.
        worker: WorkerName,
        /// Body of the heartbeat as JSON.
        body_json: Bytes,
        /// Receives the status and the JSON body of the response.
        reply: Reply<HeartbeatResponse>,
    },
    /// Refuses further calls and transfers the leadership, since the process is stopping.
    Drain {
        /// Notified when the transfer was attempted.
        reply: RpcReplyPort<()>,
    },
    /// Requests the number of proposals and reads that wait for the log.
    WaitingCount {
        /// Receives the number.
        reply: RpcReplyPort<usize>,
    },
}

/// A read of the replicated state.
#[derive(Clone, Debug)]
pub enum Query {
    /// Reads one record.
    Record(RecordKind, RecordName),
    /// Reads all records of a kind.
    Records(RecordKind),
    /// Reads the outcome of a change and the nodes that do not apply it yet.
    Change(ChangeId),
    /// Reads the status of replicas, nodes, workers, minions and guarantees.
    Status,
    /// Reads the state of a job and the reason for it, such as a wait or a refusal.
    Job(JobName),
}

/// Result of a [`Query`].
#[derive(Clone, Debug)]
pub enum QueryResponse {
    /// Record of the requested key; `None` if it does not exist.
    Record(Option<(RecordKey, StoredRecord)>),
    /// Records in order of their names.
    Records(Vec<(RecordKey, StoredRecord)>),
    /// Outcome and distribution of a change.
    Change(ChangeStatus),
    /// JSON document with the status or with the explanation of a job.
    Document(serde_json::Value),
}

/// Outcome of a change and its distribution to the nodes.
#[derive(Clone, Debug)]
pub struct ChangeStatus {
    /// Outcome of the first submission; `None` if the change id is unknown.
    pub outcome: Option<ChangeOutcome>,
    /// `true` if every node applies the change or no longer starts new work.
    pub in_force_everywhere: bool,
    /// Nodes that do not apply the change yet and may still start new work.
    pub missing_nodes: Vec<NodeName>,
}

/// Response to the heartbeat of a worker.
#[derive(Clone, Debug)]
pub struct HeartbeatResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body of the HTTP response as JSON.
    pub body_json: Bytes,
}

impl From<Committed> for ControlMessage {
    fn from(item: Committed) -> Self {
        Self::Committed(item)
    }
}
