//! Snapshots: storage on request, transfer to members in chunks, and installation.

use bytes::Bytes;
use yuccatack_core::{Incarnation, TimestampMs};

use super::Replica;
use super::progress::{Progress, ReplicationMode, SnapshotTransfer};
use crate::identifiers::{LogIndex, ReplicaId};
use crate::membership::Membership;
use crate::message::{AppendOutcome, MessageBody};
use crate::persistence::{PersistOperation, StateSnapshot};
use crate::replicated_log::LogPosition;

/// Maximum size of the snapshot data in one message. Small chunks delay the heartbeats behind them
/// less.
const CHUNK_BYTES: u64 = 512 * 1024;

/// Maximum number of entries before a snapshot that stay in the log, so that a member that lags
/// behind by no more than these needs no snapshot.
const KEPT_ENTRY_COUNT: u64 = 1_000;

/// Partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    last: LogPosition,
    membership: Membership,
    total_bytes: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub fn new(last: LogPosition, membership: Membership, total_bytes: u64) -> Self {
        Self { last, membership, total_bytes, data: Vec::new() }
    }
}

impl SnapshotTransfer {
    /// Returns the next chunk to send, or `None` while a response is pending.
    pub fn next_chunk(&mut self, now: TimestampMs) -> Option<MessageBody> {
        if self.sent_at.is_some() {
            return None;
        }
        self.sent_at = Some(now);
        let total_bytes = self.snapshot.payload.len() as u64;
        let start = self.offset_bytes.min(total_bytes);
        let end = (start + CHUNK_BYTES).min(total_bytes);
        Some(MessageBody::SnapshotChunk {
            last: self.snapshot.last,
            membership: self.snapshot.membership.clone(),
            offset_bytes: start,
            total_bytes,
            data: self.snapshot.payload.slice(start as usize..end as usize),
        })
    }
}

impl Replica {
    /// Returns the index of the last entry that the newest snapshot includes; 0 for none.
    pub(super) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex::default(), |snapshot| snapshot.last.index)
    }

    pub(super) fn on_store_snapshot(&mut self, index: LogIndex, payload: Bytes) {
        self.snapshot_requested_at = None;
        if index <= self.snapshot_index() {
            return;
        }
        assert!(index <= self.delivered, "snapshot at {index} includes undelivered entries");
        let Some(term) = self.log.term_at(index) else { return };
        let last = LogPosition { index, term };
        let membership = self.membership_at(index).clone();
        let snapshot = StateSnapshot { last, membership, payload };
        self.operations.push(PersistOperation::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        self.compact_before(index);
        self.reload_memberships();
    }

    /// Completes a compaction that the process did not reach after it had saved a snapshot. The log
    /// of an earlier version may also hold more before the snapshot than is kept now.
    pub(super) fn compact_recovered_log(&mut self) {
        if let Some(snapshot) = &self.snapshot {
            self.compact_before(snapshot.last.index);
        }
    }

    /// Drops the entries before a snapshot at `index` that need not be kept.
    fn compact_before(&mut self, index: LogIndex) {
        let kept = KEPT_ENTRY_COUNT.min(self.settings.snapshot_entry_count);
        let compacted = self.compaction_index(index, kept);
        if compacted > self.log.base().index {
            self.log.compact(compacted);
            self.restart_stored_log();
        }
    }

    fn restart_stored_log(&mut self) {
        self.stored_log_bytes =
            self.log.bytes_between(self.log.base().index, self.log.last().index);
        let entries = self.log.entries().to_vec();
        self.operations.push(PersistOperation::RestartLog { base: self.log.base(), entries });
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
        chunk: IncomingSnapshot,
        offset_bytes: u64,
        data: &[u8],
    ) {
        if chunk.last.index <= self.commit {
            let outcome = AppendOutcome::Accepted { matched: self.commit };
            return self.send_after_sync(from, incarnation, MessageBody::AppendResponse(outcome));
        }
        let same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|held| held.last == chunk.last && held.total_bytes == chunk.total_bytes);
        if !same {
            self.incoming_snapshot = Some(chunk);
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return };
        let index = incoming.last.index;
        if incoming.data.len() as u64 == offset_bytes {
            incoming.data.extend_from_slice(data);
        }
        let received_bytes = incoming.data.len() as u64;
        if received_bytes >= incoming.total_bytes
            && let Some(complete) = self.incoming_snapshot.take()
        {
            self.install(complete);
        }
        let body = MessageBody::SnapshotResponse { index, received_bytes };
        self.send_after_sync(from, incarnation, body);
    }

    fn install(&mut self, incoming: IncomingSnapshot) {
        let IncomingSnapshot { last, membership, data, .. } = incoming;
        let payload = Bytes::from(data);
        let snapshot = StateSnapshot { last, membership, payload };
        self.operations.push(PersistOperation::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        if self.log.term_at(last.index) == Some(last.term) {
            self.log.compact(last.index);
        } else {
            // The uncommitted entries conflict with the snapshot and no longer count as synced.
            let last_agreed = self.commit;
            self.synced_index = self.synced_index.min(last_agreed);
            for (_, covered) in &mut self.unsynced {
                *covered = last_agreed.min(*covered);
            }
            self.log.reset(last);
        }
        self.restart_stored_log();
        self.reload_memberships();
        self.advance_commit_to(last.index);
        self.snapshot_requested_at = None;
    }

    pub(super) fn discard_incoming_snapshot(&mut self) {
        self.incoming_snapshot = None;
    }

    pub(super) fn on_snapshot_response(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
        index: LogIndex,
        received_bytes: u64,
    ) {
        let now = self.now;
        let Some(progress) = self.progress_of_responder(from, incarnation) else { return };
        progress.on_chunk_received(index, received_bytes, now);
        self.advance_commit();
        self.continue_change();
    }
}

impl Progress {
    fn on_chunk_received(&mut self, index: LogIndex, received_bytes: u64, now: TimestampMs) {
        let ReplicationMode::Snapshot(transfer) = &mut self.mode else { return };
        if transfer.snapshot.last.index != index {
            return;
        }
        if received_bytes >= transfer.snapshot.payload.len() as u64 {
            self.next = index.next();
            self.accept(index, now);
        } else if received_bytes != transfer.offset_bytes {
            transfer.offset_bytes = received_bytes;
            transfer.sent_at = None;
            self.last_progress = now;
        }
    }
}
