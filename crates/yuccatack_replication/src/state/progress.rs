//! Replication progress of each member, as tracked by the leader.

use yuccatack_core::{Incarnation, TimestampMs};

use crate::identifiers::LogIndex;
use crate::persistence::StateSnapshot;

/// Number of unacknowledged entries above which a member is sent no more; more would only fill its
/// queues.
pub(super) const WINDOW_ENTRY_COUNT: u64 = 8_192;

/// Size of unacknowledged entries above which a member is sent no more. The member holds them in
/// memory until they are on its disk.
pub(super) const WINDOW_BYTES: u64 = 4 * 1024 * 1024;

/// Replication mode of a member.
#[derive(Debug)]
pub(super) enum ReplicationMode {
    /// Searches for the position up to which the logs match, one message at a time.
    Probe {
        /// `true` while a response is pending.
        waiting: bool,
    },
    /// Sends entries without waiting for responses.
    Stream,
    /// Sends the snapshot, because the entries that the member needs are compacted.
    Snapshot(SnapshotTransfer),
}

/// Snapshot that is being sent to a member.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub snapshot: StateSnapshot,
    pub offset_bytes: u64,
    /// Time at which the chunk at `offset_bytes` was sent; `None` if it must still be sent.
    pub sent_at: Option<TimestampMs>,
}

/// Replication progress of one member.
#[derive(Debug)]
pub(super) struct Progress {
    /// Incarnation of the member's data folder; 0 for a learner whose data folder is not known.
    pub incarnation: Incarnation,
    /// Last index that is known to match and to be on the member's disk.
    pub matched: LogIndex,
    /// Next index to send.
    pub next: LogIndex,
    pub mode: ReplicationMode,
    /// Time of the member's last response.
    pub last_response: TimestampMs,
    /// Time at which `matched` last increased or sending resumed.
    pub last_progress: TimestampMs,
    /// Newest confirmation round that the member responded to.
    pub round: u64,
    /// `true` if the member has reported that its disk takes no more bytes.
    pub disk_full: bool,
}

impl Progress {
    pub fn new(incarnation: Incarnation, next: LogIndex, now: TimestampMs) -> Self {
        Self {
            incarnation,
            matched: LogIndex::default(),
            next,
            mode: ReplicationMode::Probe { waiting: false },
            last_response: now,
            last_progress: now,
            round: 0,
            disk_full: false,
        }
    }

    pub fn accept(&mut self, matched: LogIndex, now: TimestampMs) {
        if matched > self.matched {
            self.matched = matched;
            self.last_progress = now;
        }
        self.next = self.next.max(self.matched.next());
        let sending_snapshot = matches!(&self.mode, ReplicationMode::Snapshot(transfer)
            if transfer.snapshot.last.index > self.matched);
        if !sending_snapshot {
            self.mode = ReplicationMode::Stream;
        }
    }

    pub fn reject(&mut self, match_upper_bound: LogIndex) {
        self.next = match_upper_bound.next().max(self.matched.next());
        self.mode = ReplicationMode::Probe { waiting: false };
    }

    /// Schedules messages to be sent again: entries without progress for longer than `timeout_ms`,
    /// a chunk without a response for twice as long, and a probe at once.
    pub fn resend_if_stalled(&mut self, now: TimestampMs, timeout_ms: u64) {
        match &mut self.mode {
            ReplicationMode::Probe { waiting } => *waiting = false,
            ReplicationMode::Stream => {
                let outstanding = self.next > self.matched.next();
                if outstanding && now.since(self.last_progress).get() > timeout_ms {
                    self.next = self.matched.next();
                    self.mode = ReplicationMode::Probe { waiting: false };
                }
            }
            ReplicationMode::Snapshot(transfer) => {
                let stalled =
                    transfer.sent_at.is_some_and(|sent| now.since(sent).get() > 2 * timeout_ms);
                if stalled {
                    transfer.sent_at = None;
                }
            }
        }
    }
}
