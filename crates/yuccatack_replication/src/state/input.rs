//! Settings and inputs of the state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use yuccatack_core::{DurationMs, Incarnation};

use crate::committed::ProposalClass;
use crate::identifiers::{ChangeNumber, LogIndex, ProposalId, ReadId, ReplicaId};
use crate::membership::MembershipChange;
use crate::message::Message;

/// Identity, timing and limits of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Number of the replica; never reused within a deployment.
    pub replica: ReplicaId,
    /// Incarnation of the replica's data folder.
    pub incarnation: Incarnation,
    /// Address on which the replica accepts messages.
    pub address: SocketAddr,
    /// Voters of a new deployment.
    pub initial_voters: BTreeMap<ReplicaId, SocketAddr>,
    /// Interval between the heartbeats of a leader.
    pub heartbeat: DurationMs,
    /// Lower bound of the randomised election timeout; the upper bound is twice as high.
    pub election_timeout: DurationMs,
    /// Number of entries that are delivered before the next snapshot is requested.
    pub snapshot_entry_count: u64,
    /// Size of the disk on which the replica keeps its log and its snapshots.
    pub disk_capacity_bytes: u64,
    /// Maximum size of the entries in one message; a larger single entry is sent alone.
    pub append_limit_bytes: usize,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has advanced; checks all deadlines.
    Tick,
    /// A message from another replica has arrived.
    Message(Message),
    /// All writes up to and including a batch are on disk.
    Synced {
        /// Sequence number of the batch.
        sequence: u64,
    },
    /// The disk of this replica became full, or takes writes again.
    DiskFull {
        /// `true` if the disk takes no more bytes.
        full: bool,
    },
    /// Proposes a command.
    Propose {
        /// Number that the proposer gave to the proposal.
        proposal: ProposalId,
        /// Effect of the command on the space that the state takes.
        class: ProposalClass,
        /// Encoded command.
        payload: Bytes,
    },
    /// Requests a linearizable read.
    Read {
        /// Number that the reader gave to the read.
        read: ReadId,
    },
    /// Provides the replicated state as of an index, for a snapshot.
    StoreSnapshot {
        /// Index of the last entry that the state includes.
        index: LogIndex,
        /// Encoded state.
        payload: Bytes,
    },
    /// Provides the hash of the replicated state after an entry.
    StateHash {
        /// Index of the entry.
        index: LogIndex,
        /// Hash of the state after that entry.
        hash: u64,
    },
    /// Requests a membership change.
    ChangeMembership {
        /// Number that the requester gave to the change.
        number: ChangeNumber,
        /// Requested change.
        change: MembershipChange,
    },
    /// Requests the transfer of leadership to the most up-to-date other voter.
    TransferLeadership,
}
