//! What a replica is told.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use yuccatack_core::{DurationMs, Incarnation};

use crate::identifiers::{ChangeNumber, LogIndex, ProposalId, ReadId, ReplicaId};
use crate::membership::MembershipChange;
use crate::message::Message;

/// Who the replica is and how fast it reacts.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The number of the replica.
    pub replica: ReplicaId,
    /// The incarnation of its data folder.
    pub incarnation: Incarnation,
    /// Where it answers.
    pub address: SocketAddr,
    /// The voters with which a new deployment starts.
    pub initial_voters: BTreeMap<ReplicaId, SocketAddr>,
    /// How often a leader sends a heartbeat.
    pub heartbeat: DurationMs,
    /// The shortest election timeout; the longest is twice as long.
    pub election_timeout: DurationMs,
    /// How many entries are delivered before a snapshot is asked for.
    pub snapshot_entry_count: u64,
    /// How many bytes of entries one message carries.
    pub append_limit_bytes: usize,
}

/// One input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// All writes up to and including this batch are on disk.
    Synced {
        /// The number of the batch.
        sequence: u64,
    },
    /// A command to append.
    Propose {
        /// The proposer's number for it.
        proposal: ProposalId,
        /// The command.
        payload: Bytes,
    },
    /// A linearizable read.
    Read {
        /// The reader's number for it.
        read: ReadId,
    },
    /// The state as of an index.
    StoreSnapshot {
        /// The last entry included.
        index: LogIndex,
        /// The state.
        payload: Bytes,
    },
    /// The hash of the state after an entry.
    StateHash {
        /// The entry.
        index: LogIndex,
        /// The hash.
        hash: u64,
    },
    /// A change of membership.
    ChangeMembership {
        /// The requester's number for it.
        number: ChangeNumber,
        /// The change.
        change: MembershipChange,
    },
    /// Hand the lead to the most advanced other voter.
    TransferLeadership,
}
