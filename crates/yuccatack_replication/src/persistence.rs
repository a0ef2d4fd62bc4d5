//! Writes that the state machine requests, and the durable state that it starts from.

use bytes::Bytes;

use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::replicated_log::{LogEntry, LogPosition};

/// Durable state of a replica besides its log and its snapshot.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Replica that received its vote in that term; [`ReplicaId::NONE`] if none did.
    pub voted_for: ReplicaId,
    /// Cluster of the replica; [`ClusterId::NONE`] before it joins one.
    pub cluster: ClusterId,
}

/// Snapshot of the replicated state, which replaces the log up to a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateSnapshot {
    /// Position of the last entry that the snapshot includes.
    pub last: LogPosition,
    /// Membership as of that entry.
    pub membership: Membership,
    /// Encoded state.
    pub payload: Bytes,
}

/// One write to durable storage; writes are made in the order in which they were requested.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistOperation {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries; the first one replaces everything from its index on.
    Append(Vec<LogEntry>),
    /// Replaces the snapshot.
    Snapshot(StateSnapshot),
    /// Replaces the log with one that starts after `base`.
    RestartLog {
        /// Position before the first entry of the new log.
        base: LogPosition,
        /// Entries of the new log.
        entries: Vec<LogEntry>,
    },
}

/// Group of writes that are confirmed together.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistBatch {
    /// Number by which the confirmation refers to the batch; it increases by 1 per batch.
    pub sequence: u64,
    /// Writes in the order in which they must be made.
    pub operations: Vec<PersistOperation>,
}

/// Durable state that a replica recovers from its data folder.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term, vote and cluster; all 0 in a new folder.
    pub hard_state: HardState,
    /// Newest snapshot, if one was taken or received.
    pub snapshot: Option<StateSnapshot>,
    /// Position before the first entry.
    pub base: LogPosition,
    /// Entries after the base, without gaps.
    pub entries: Vec<LogEntry>,
}

impl Recovered {
    /// Returns the last index on disk.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.base.index, |entry| entry.index)
    }
}
