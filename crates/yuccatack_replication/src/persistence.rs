//! What the state machine asks to have written, and what it starts from.

use bytes::Bytes;

use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::replicated_log::{LogEntry, LogPosition};

/// What a replica must remember besides its log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: Term,
    /// The replica that got its vote in that term.
    pub voted_for: ReplicaId,
    /// The cluster that the replica belongs to.
    pub cluster: ClusterId,
}

/// State that replaces the log up to a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateSnapshot {
    /// The last entry that the snapshot includes.
    pub last: LogPosition,
    /// The members at that entry.
    pub membership: Membership,
    /// The state.
    pub payload: Bytes,
}

/// One write; the order of writes is the order in which they were asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistOperation {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries; the first one replaces everything from its index on.
    Append(Vec<LogEntry>),
    /// Replaces the snapshot.
    Snapshot(StateSnapshot),
    /// Replaces the log by one that starts after `base`.
    RestartLog {
        /// The position before the first entry.
        base: LogPosition,
        /// All entries after it.
        entries: Vec<LogEntry>,
    },
}

/// Writes that are confirmed together.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistBatch {
    /// The number by which the confirmation refers to the batch.
    pub sequence: u64,
    /// The writes in order.
    pub operations: Vec<PersistOperation>,
}

/// What a replica finds in its data folder.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term, vote and cluster.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<StateSnapshot>,
    /// The position before the first entry.
    pub base: LogPosition,
    /// The entries after the base.
    pub entries: Vec<LogEntry>,
}

impl Recovered {
    /// The last index on disk.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.base.index, |entry| entry.index)
    }
}
