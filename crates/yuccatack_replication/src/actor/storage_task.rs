//! Blocking task that owns the open files.

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};
use yuccatack_storage::{DataFolder, LogBase, Snapshot, StorageError, Store, StoredEntry};

use crate::error::ReplicaFailure;
use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::persistence::{HardState, PersistBatch, PersistOperation, Recovered, StateSnapshot};
use crate::replicated_log::{LogEntry, LogPosition};
use crate::wire::WireError;

/// Time after which a write that a full disk refused is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two attempts to set the reserve aside again. Each one writes up to the size of the
/// reserve.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// What the task reports to the actor.
#[derive(Debug)]
pub(super) enum StorageEvent {
    /// The batches up to this number are on disk.
    Written(u64),
    /// The disk became full, or takes writes and holds its reserve again.
    DiskFull(bool),
    /// A write failed for another reason than a full disk; the task has ended.
    Failed(ReplicaFailure),
}

/// Error of writing a batch.
#[derive(Debug, Snafu)]
enum PersistError {
    #[snafu(display("{source}"))]
    Storage { source: StorageError },
    #[snafu(display("{source}"))]
    Encoding { source: WireError },
}

impl From<PersistError> for StorageEvent {
    fn from(error: PersistError) -> Self {
        Self::Failed(ReplicaFailure::Storage { detail: error.to_string() })
    }
}

/// An operation with the number of the first batch that it belongs to.
#[derive(Debug)]
struct PendingOperation {
    first_sequence: u64,
    operation: PersistOperation,
}

/// Why no further batch is written.
enum Ended {
    /// The actor dropped the sender of the batches.
    Closed,
    Failed(PersistError),
}

/// Writes batches until the sender is dropped; batches that wait at the same time share one sync.
///
/// Reports the number of the last batch of each write, and stops at the first failure. A full disk
/// is not a failure: the write is repeated until it succeeds or the sender is dropped.
pub(super) struct StorageTask<OnEvent> {
    folder: DataFolder,
    store: Store,
    batches: Receiver<PersistBatch>,
    /// Batches that arrived while a write waited for space.
    queued: VecDeque<PersistBatch>,
    written_sequence: u64,
    disk_full: bool,
    next_refill: Instant,
    on_event: OnEvent,
}

impl<OnEvent> StorageTask<OnEvent>
where
    OnEvent: Fn(StorageEvent),
{
    /// Creates a task that writes `batches` to `store`, which belongs to `folder`.
    pub fn new(
        folder: DataFolder,
        store: Store,
        batches: Receiver<PersistBatch>,
        on_event: OnEvent,
    ) -> Self {
        let next_refill = Instant::now();
        Self {
            folder,
            store,
            batches,
            queued: VecDeque::new(),
            written_sequence: 0,
            disk_full: false,
            next_refill,
            on_event,
        }
    }

    /// Runs until the sender of the batches is dropped or a write fails.
    pub fn run(mut self) {
        if let Err(Ended::Failed(error)) = self.write_batches() {
            (self.on_event)(error.into());
        }
    }

    fn write_batches(&mut self) -> Result<(), Ended> {
        self.check_reserve();
        loop {
            let first = self.next_batch()?;
            let mut sequence = first.sequence;
            let mut operations = VecDeque::new();
            merge(&mut operations, first);
            while let Some(batch) = self.waiting_batch() {
                sequence = batch.sequence;
                merge(&mut operations, batch);
            }
            self.write_until_done(operations)?;
            self.report_written(sequence);
        }
    }

    /// Waits for a batch, and tries to set the reserve aside again while the disk is full.
    fn next_batch(&mut self) -> Result<PersistBatch, Ended> {
        while self.disk_full {
            let now = Instant::now();
            if now >= self.next_refill {
                self.refill_reserve()?;
                continue;
            }
            if let Some(batch) = self.waiting_batch() {
                return Ok(batch);
            }
            match self.batches.recv_timeout(self.next_refill - now) {
                Ok(batch) => return Ok(batch),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Err(Ended::Closed),
            }
        }
        match self.queued.pop_front() {
            Some(batch) => Ok(batch),
            None => self.batches.recv().map_err(|_| Ended::Closed),
        }
    }

    fn waiting_batch(&mut self) -> Option<PersistBatch> {
        self.queued.pop_front().or_else(|| self.batches.try_recv().ok())
    }

    /// Makes the writes in order. While the disk is full, the first that did not succeed is repeated.
    fn write_until_done(
        &mut self,
        mut operations: VecDeque<PendingOperation>,
    ) -> Result<(), Ended> {
        while let Some(PendingOperation { first_sequence, operation }) = operations.front() {
            match write(&mut self.store, operation) {
                Ok(()) => {
                    operations.pop_front();
                    self.check_reserve();
                }
                Err(PersistError::Storage { source: StorageError::DiskFull { .. } }) => {
                    // The earlier batches are complete, and a vote among them must not wait.
                    self.report_written(first_sequence - 1);
                    self.set_disk_full(true);
                    self.wait_for_retry()?;
                }
                Err(error) => return Err(Ended::Failed(error)),
            }
        }
        Ok(())
    }

    fn report_written(&mut self, sequence: u64) {
        if sequence > self.written_sequence {
            self.written_sequence = sequence;
            (self.on_event)(StorageEvent::Written(sequence));
        }
    }

    /// Waits for [`RETRY_INTERVAL`], or returns an error as soon as the sender is dropped, so that a
    /// full disk does not delay the end of the replica.
    fn wait_for_retry(&mut self) -> Result<(), Ended> {
        let deadline = Instant::now() + RETRY_INTERVAL;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            match self.batches.recv_timeout(remaining) {
                Ok(batch) => self.queued.push_back(batch),
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => return Err(Ended::Closed),
            }
        }
    }

    /// Reports a full disk if a write succeeded only with the space of the reserve.
    fn check_reserve(&mut self) {
        if !self.folder.reserve_is_whole() {
            self.set_disk_full(true);
        }
    }

    fn refill_reserve(&mut self) -> Result<(), Ended> {
        let refilled = self.folder.refill_reserve().context(StorageSnafu);
        if refilled.map_err(Ended::Failed)? {
            self.set_disk_full(false);
        }
        self.next_refill = Instant::now() + REFILL_INTERVAL;
        Ok(())
    }

    fn set_disk_full(&mut self, full: bool) {
        if self.disk_full == full {
            return;
        }
        self.disk_full = full;
        let folder = self.folder.path().display();
        if full {
            self.next_refill = Instant::now() + REFILL_INTERVAL;
            log::warn!(
                event = "disk_full";
                "the disk that holds `{folder}` is full: the replica keeps running, but refuses \
                 changes that add to the state until there is space"
            );
        } else {
            log::info!(
                event = "disk_freed";
                "the disk that holds `{folder}` has space again: the replica accepts changes that \
                 add to the state"
            );
        }
        (self.on_event)(StorageEvent::DiskFull(full));
    }
}

/// Adds the operations of `batch`. Consecutive appends are merged, so that they need only one sync.
fn merge(operations: &mut VecDeque<PendingOperation>, batch: PersistBatch) {
    for operation in batch.operations {
        match (operations.back_mut(), operation) {
            (
                Some(PendingOperation { operation: PersistOperation::Append(entries), .. }),
                PersistOperation::Append(added),
            ) => entries.extend(added),
            (_, operation) => {
                operations
                    .push_back(PendingOperation { first_sequence: batch.sequence, operation });
            }
        }
    }
}

fn write(store: &mut Store, operation: &PersistOperation) -> Result<(), PersistError> {
    match operation {
        PersistOperation::HardState(state) => {
            store.hard_state.save(stored_hard_state(*state)).context(StorageSnafu)
        }
        PersistOperation::Append(entries) => {
            store.log.append(&stored_entries(entries)?).context(StorageSnafu)
        }
        PersistOperation::Snapshot(snapshot) => {
            let stored = Snapshot::try_from(snapshot).context(EncodingSnafu)?;
            store.snapshots.save(&stored).context(StorageSnafu)
        }
        PersistOperation::RestartLog { base, entries } => {
            let stored = stored_entries(entries)?;
            let base = LogBase { index: base.index.get(), term: base.term.get() };
            store.log.rewrite(base, &stored).context(StorageSnafu)
        }
    }
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
