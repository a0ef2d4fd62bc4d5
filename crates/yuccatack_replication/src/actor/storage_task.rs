//! Blocking task that owns the open files.

use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;
use yuccatack_storage::{LogBase, Snapshot, StorageError, Store, StoredEntry};

use crate::error::ReplicaFailure;
use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::persistence::{HardState, PersistBatch, PersistOperation, Recovered, StateSnapshot};
use crate::replicated_log::{LogEntry, LogPosition};
use crate::wire::WireError;

/// Error of writing a batch.
#[derive(Debug, Snafu)]
pub(crate) enum PersistError {
    #[snafu(display("{source}"))]
    Storage { source: StorageError },
    #[snafu(display("{source}"))]
    Encoding { source: WireError },
}

impl From<PersistError> for ReplicaFailure {
    fn from(error: PersistError) -> Self {
        let detail = error.to_string();
        match error {
            PersistError::Storage { source: StorageError::DiskFull { .. } } => {
                Self::DiskFull { detail }
            }
            PersistError::Storage { .. } | PersistError::Encoding { .. } => {
                Self::Storage { detail }
            }
        }
    }
}

/// Writes batches until the sender is dropped; batches that wait at the same time share one sync.
///
/// Reports the number of the last batch of each write, and stops at the first failure.
pub(super) fn write_batches(
    mut store: Store,
    mut batches: mpsc::UnboundedReceiver<PersistBatch>,
    on_written: impl Fn(Result<u64, PersistError>),
) {
    while let Some(first) = batches.blocking_recv() {
        let mut sequence = first.sequence;
        let mut operations = first.operations;
        while let Ok(batch) = batches.try_recv() {
            sequence = batch.sequence;
            merge(&mut operations, batch.operations);
        }
        let result = write(&mut store, operations);
        let failed = result.is_err();
        on_written(result.map(|()| sequence));
        if failed {
            return;
        }
    }
}

/// Merges consecutive appends, so that they need only one sync.
fn merge(operations: &mut Vec<PersistOperation>, more: Vec<PersistOperation>) {
    for operation in more {
        match (operations.last_mut(), operation) {
            (Some(PersistOperation::Append(entries)), PersistOperation::Append(added)) => {
                entries.extend(added);
            }
            (_, operation) => operations.push(operation),
        }
    }
}

fn write(store: &mut Store, operations: Vec<PersistOperation>) -> Result<(), PersistError> {
    for operation in operations {
        match operation {
            PersistOperation::HardState(state) => {
                store.hard_state.save(stored_hard_state(state)).context(StorageSnafu)?;
            }
            PersistOperation::Append(entries) => {
                store.log.append(&stored_entries(&entries)?).context(StorageSnafu)?;
            }
            PersistOperation::Snapshot(snapshot) => {
                let stored = Snapshot::try_from(&snapshot).context(EncodingSnafu)?;
                store.snapshots.save(&stored).context(StorageSnafu)?;
            }
            PersistOperation::RestartLog { base, entries } => {
                let stored = stored_entries(&entries)?;
                let base = LogBase { index: base.index.get(), term: base.term.get() };
                store.log.rewrite(base, &stored).context(StorageSnafu)?;
            }
        }
    }
    Ok(())
}

fn stored_entries(entries: &[LogEntry]) -> Result<Vec<StoredEntry>, PersistError> {
    entries.iter().map(|entry| StoredEntry::try_from(entry).context(EncodingSnafu)).collect()
}

fn stored_hard_state(state: HardState) -> yuccatack_storage::HardState {
    yuccatack_storage::HardState {
        term: state.term.get(),
        voted_for: state.voted_for.get(),
        cluster: state.cluster.get(),
    }
}

/// Decodes the content of the data folder.
pub(super) fn decode_recovered(
    stored: yuccatack_storage::Recovered,
) -> Result<Recovered, WireError> {
    let entries: Result<Vec<_>, _> = stored.entries.into_iter().map(LogEntry::try_from).collect();
    Ok(Recovered {
        hard_state: HardState {
            term: Term::new(stored.hard_state.term),
            voted_for: ReplicaId::new(stored.hard_state.voted_for),
            cluster: ClusterId::new(stored.hard_state.cluster),
        },
        snapshot: stored.snapshot.map(StateSnapshot::try_from).transpose()?,
        base: LogPosition {
            index: LogIndex::new(stored.base.index),
            term: Term::new(stored.base.term),
        },
        entries: entries?,
    })
}
