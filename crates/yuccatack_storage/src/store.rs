//! All files of a data folder together.

use crate::error::{CorruptedSnafu, StorageError};
use crate::folder::DataFolder;
use crate::hard_state::{HARD_STATE_FILE, HardState, HardStateStore};
use crate::log_entry::StoredEntry;
use crate::log_store::{LOG_FILE, LogBase, LogStore, OpenedLog};
use crate::snapshot::{SNAPSHOT_FILE, Snapshot, SnapshotStore};

/// The files of one data folder.
pub struct Store {
    /// The log file.
    pub log: LogStore,
    /// The snapshot file.
    pub snapshots: SnapshotStore,
    /// The hard state.
    pub hard_state: HardStateStore,
}

/// What a data folder held when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Term, vote and cluster.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The position before the first entry.
    pub base: LogBase,
    /// The entries after the base, without gaps.
    pub entries: Vec<StoredEntry>,
}

impl Store {
    /// Opens the files of `folder` and checks that snapshot and log meet without a gap.
    pub fn open(folder: &DataFolder) -> Result<(Self, Recovered), StorageError> {
        refuse_missing_log(folder)?;
        let (hard_state, recovered_state) = HardStateStore::open(folder)?;
        let (snapshots, snapshot) = SnapshotStore::open(folder)?;
        let (mut log, mut opened) = LogStore::open(folder)?;
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let holds_data = snapshot.is_some() || !opened.entries.is_empty();
        if recovered_state == HardState::default() && holds_data {
            // The vote that the replica gave would be forgotten.
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
            && !reaches(&opened, snapshot)
        {
            // The process ended between saving a received snapshot and restarting the log after it.
            opened.base = LogBase { index: snapshot.index, term: snapshot.term };
            opened.entries.clear();
            log.rewrite(opened.base, &[])?;
        }
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

/// The log file is made before the others, so it is missing only when it was lost.
fn refuse_missing_log(folder: &DataFolder) -> Result<(), StorageError> {
    let exists = |name| folder.path().join(name).exists();
    if !exists(LOG_FILE) && (exists(HARD_STATE_FILE) || exists(SNAPSHOT_FILE)) {
        let detail = "the log file is missing";
        return CorruptedSnafu { path: folder.path(), offset_bytes: 0u64, detail }.fail();
    }
    Ok(())
}

/// Whether the log holds the last entry that the snapshot includes.
fn reaches(log: &OpenedLog, snapshot: &Snapshot) -> bool {
    if snapshot.index == log.base.index {
        return snapshot.term == log.base.term;
    }
    let position = (snapshot.index - log.base.index - 1) as usize;
    log.entries.get(position).is_some_and(|entry| entry.term == snapshot.term)
}
