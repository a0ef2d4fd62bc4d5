//! Consensus messages exchanged between replicas.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use yuccatack_core::Incarnation;

use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::replicated_log::{LogEntry, LogPosition};

/// Consensus message with its sender, its receiver and the sender's term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Replica that sends the message.
    pub from: ReplicaId,
    /// Incarnation of the sender's data folder.
    pub from_incarnation: Incarnation,
    /// Address on which the sender accepts messages.
    pub from_address: SocketAddr,
    /// Replica that the message is addressed to.
    pub to: ReplicaId,
    /// Incarnation of the receiver's data folder; 0 when the sender does not know it yet.
    pub to_incarnation: Incarnation,
    /// Cluster of the sender; 0 while the sender belongs to none.
    pub cluster: ClusterId,
    /// Current term of the sender.
    pub term: Term,
    /// Request or response that the message carries.
    pub body: MessageBody,
}

/// Request or response that a message carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests the incarnation and the cluster of an initial voter of a new deployment.
    Hello,
    /// Response to `Hello`; incarnation and cluster are in the header of the message.
    HelloReply,
    /// Requests a vote.
    VoteRequest {
        /// Term of the election.
        for_term: Term,
        /// `true` for a pre-vote, which checks if the vote would be granted and changes no state.
        pre_vote: bool,
        /// `true` if the leader requested this election to transfer its leadership.
        transfer: bool,
        /// Position of the last entry in the sender's log.
        last: LogPosition,
    },
    /// Response to `VoteRequest`.
    VoteResponse {
        /// Term that the request named.
        for_term: Term,
        /// `true` if the request was a pre-vote.
        pre_vote: bool,
        /// `true` if the vote is granted.
        granted: bool,
    },
    /// Replicates entries of the leader's log.
    Append {
        /// Position just before the first of the entries.
        previous: LogPosition,
        /// Consecutive entries after `previous`; empty when only the positions are compared.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: LogIndex,
    },
    /// Response to `Append`.
    AppendResponse(AppendOutcome),
    /// Maintains the leader's leadership and confirms it for reads.
    Heartbeat {
        /// Last committed index that the receiver is known to hold.
        commit: LogIndex,
        /// Number of the newest confirmation round for reads.
        round: u64,
    },
    /// Response to `Heartbeat`.
    HeartbeatResponse {
        /// Round that the heartbeat named.
        round: u64,
        /// `true` if the sender's disk takes no more bytes; earlier versions do not report it.
        #[serde(default)]
        disk_full: bool,
    },
    /// Transfers one chunk of the leader's snapshot.
    SnapshotChunk {
        /// Position of the last entry that the snapshot includes.
        last: LogPosition,
        /// Membership as of that entry.
        membership: Membership,
        /// Offset of the chunk within the snapshot.
        offset_bytes: u64,
        /// Size of the complete snapshot.
        total_bytes: u64,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// Acknowledges the part of a snapshot that has arrived.
    SnapshotResponse {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// Offset at which the next chunk must start.
        received_bytes: u64,
    },
    /// Requests the receiver to start an election without waiting for its timeout.
    TimeoutNow,
    /// Reports the hash of the replicated state after an entry.
    StateHash {
        /// Index of the entry.
        index: LogIndex,
        /// Hash of the state after that entry.
        hash: u64,
    },
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the leader's log up to `matched`, and that part is on disk.
    Accepted {
        /// Last index that matches.
        matched: LogIndex,
    },
    /// The position before the entries is not in the log or has another term.
    Rejected {
        /// Index before the entries of the rejected append.
        previous: LogIndex,
        /// Last position at which the logs may match.
        hint: LogPosition,
    },
}
