//! Messages between replicas.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yuccatack_core::Incarnation;

use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::replicated_log::{LogEntry, LogPosition};

/// A message with both ends and the sender's term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The sender's data folder.
    pub from_incarnation: Incarnation,
    /// Where the sender answers.
    pub from_address: SocketAddr,
    /// The receiver.
    pub to: ReplicaId,
    /// The data folder that the message is for; 0 when the sender does not know it yet.
    pub to_incarnation: Incarnation,
    /// The sender's cluster; 0 while it has none.
    pub cluster: ClusterId,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks an initial voter of a new deployment for its incarnation and cluster.
    Hello,
    /// The answer to a hello; both are in the message's header.
    HelloReply,
    /// Asks for a vote.
    VoteRequest {
        /// The term to be elected for.
        for_term: Term,
        /// Whether this only asks if the vote would be given.
        pre_vote: bool,
        /// Whether the leader asked the sender to take over.
        transfer: bool,
        /// Where the sender's log ends.
        last: LogPosition,
    },
    /// The answer to a vote request.
    VoteResponse {
        /// The term of the request.
        for_term: Term,
        /// Whether the request was a pre-vote.
        pre_vote: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries of the leader's log.
    Append {
        /// The position just before the entries.
        previous: LogPosition,
        /// The entries; may be empty.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
    },
    /// The answer to an append.
    AppendResponse(AppendOutcome),
    /// Keeps the leader's lead and confirms it for reads.
    Heartbeat {
        /// What the receiver is known to hold of the committed log.
        commit: LogIndex,
        /// The number of the confirmation round.
        round: u64,
    },
    /// The answer to a heartbeat.
    HeartbeatResponse {
        /// The round of the heartbeat.
        round: u64,
    },
    /// A part of the leader's snapshot.
    SnapshotChunk {
        /// The last entry that the snapshot includes.
        last: LogPosition,
        /// The members at that entry.
        membership: Membership,
        /// Where the part starts.
        offset_bytes: u64,
        /// The length of the whole snapshot.
        total_bytes: u64,
        /// The part.
        data: Bytes,
    },
    /// How much of a snapshot has arrived.
    SnapshotResponse {
        /// The snapshot's last entry.
        index: LogIndex,
        /// Where the next part must start.
        received_bytes: u64,
    },
    /// Asks the receiver to become leader at once.
    TimeoutNow,
    /// The hash of the replicated state after an entry.
    StateHash {
        /// The entry.
        index: LogIndex,
        /// The hash.
        hash: u64,
    },
}

/// What became of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to here, and that part is on disk.
    Accepted {
        /// The last index that agrees.
        matched: LogIndex,
    },
    /// The position before the entries is unknown or has another term.
    Rejected {
        /// The refused position.
        previous: LogIndex,
        /// Where the logs may still agree.
        hint: LogPosition,
    },
}
