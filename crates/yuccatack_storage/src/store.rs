//! Recovery of all files of a data folder.

use crate::error::{CorruptedSnafu, StorageError};
use crate::folder::DataFolder;
use crate::hard_state::{HARD_STATE_FILE, HardState, HardStateStore};
use crate::log_entry::StoredEntry;
use crate::log_store::{LOG_FILE, LogBase, LogStore, OpenedLog};
use crate::snapshot::{SNAPSHOT_FILE, Snapshot, SnapshotStore};

/// The stores of a data folder.
pub struct Store {
    /// Store of the log entries.
    pub log: LogStore,
    /// Store of the newest snapshot.
    pub snapshots: SnapshotStore,
    /// Store of term, vote and cluster.
    pub hard_state: HardStateStore,
}

/// The content of a data folder when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Stored hard state, or the default if none was saved.
    pub hard_state: HardState,
    /// Newest snapshot, or `None` if none was saved.
    pub snapshot: Option<Snapshot>,
    /// Position before the first entry.
    pub base: LogBase,
    /// Entries after the base, without gaps.
    pub entries: Vec<StoredEntry>,
}

impl Store {
    /// Opens the files of `folder`, checks that no entry is missing between snapshot and log, and
    /// syncs what it has recovered.
    pub fn open(folder: &DataFolder) -> Result<(Self, Recovered), StorageError> {
        refuse_missing_log(folder)?;
        let (hard_state, recovered_state) = HardStateStore::open(folder)?;
        let (snapshots, snapshot) = SnapshotStore::open(folder)?;
        let (mut log, mut opened) = LogStore::open(folder)?;
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let holds_data = snapshot.is_some() || !opened.entries.is_empty();
        if recovered_state == HardState::default() && holds_data {
            // Without the hard state the replica could vote twice in a term.
            return CorruptedSnafu {
                path: folder.path(),
                offset_bytes: 0u64,
                detail: "the hard state is missing",
            }
            .fail();
        }
        if opened.base.index > snapshot_index {
            return CorruptedSnafu {
                path: folder.path(),
                offset_bytes: 0u64,
                detail: "the log starts after the snapshot ends",
            }
            .fail();
        }
        if let Some(snapshot) = &snapshot
            && !matches_snapshot(&opened, snapshot)
        {
            // The process stopped after saving a received snapshot and before it replaced the log
            // by an empty one that starts after the snapshot.
            opened.base = LogBase { index: snapshot.index, term: snapshot.term };
            opened.entries.clear();
            log.rewrite(opened.base, &[])?;
        }
        // A process that stopped between a write and its sync leaves content that a power loss would
        // still undo, and what is recovered here counts as durable.
        folder.sync_files()?;
        let store = Self { log, snapshots, hard_state };
        let recovered = Recovered {
            hard_state: recovered_state,
            snapshot,
            base: opened.base,
            entries: opened.entries,
        };
        Ok((store, recovered))
    }
}

/// Returns an error if the log file is missing next to a hard state or snapshot file.
///
/// The log file is created before the others, so in that case it was lost.
fn refuse_missing_log(folder: &DataFolder) -> Result<(), StorageError> {
    let exists = |name| folder.path().join(name).exists();
    if !exists(LOG_FILE) && (exists(HARD_STATE_FILE) || exists(SNAPSHOT_FILE)) {
        let detail = "the log file is missing";
        return CorruptedSnafu { path: folder.path(), offset_bytes: 0u64, detail }.fail();
    }
    Ok(())
}

/// Returns `true` if the log contains the last entry that the snapshot includes, in the same term.
fn matches_snapshot(log: &OpenedLog, snapshot: &Snapshot) -> bool {
    if snapshot.index == log.base.index {
        return snapshot.term == log.base.term;
    }
    let position = (snapshot.index - log.base.index - 1) as usize;
    log.entries.get(position).is_some_and(|entry| entry.term == snapshot.term)
}
