//! What a leader knows about each of the other members.

use yuccatack_core::{Incarnation, TimestampMs};

use crate::identifiers::LogIndex;
use crate::persistence::StateSnapshot;

/// How many entries may be on their way to one member; more would only fill its queues.
pub(super) const WINDOW_ENTRY_COUNT: u64 = 8_192;

/// How a member is being brought up to date.
#[derive(Debug)]
pub(super) enum Mode {
    /// Looks for the position where the logs agree, one message at a time.
    Probe {
        /// Whether an answer is awaited.
        waiting: bool,
    },
    /// Sends entries without waiting for answers.
    Stream,
    /// Sends the snapshot, because the entries that the member needs are compacted.
    Snapshot(Transfer),
}

/// A snapshot on its way to a member.
#[derive(Debug)]
pub(super) struct Transfer {
    pub snapshot: StateSnapshot,
    pub offset_bytes: u64,
    /// When the part at `offset_bytes` was sent, unless it is still to be sent.
    pub sent_at: Option<TimestampMs>,
}

/// What the leader knows about one member.
#[derive(Debug)]
pub(super) struct Progress {
    /// The data folder that the figures are about; 0 for a learner not yet heard of.
    pub incarnation: Incarnation,
    /// The last index that is known to agree and to be on the member's disk.
    pub matched: LogIndex,
    /// The next index to send.
    pub next: LogIndex,
    pub mode: Mode,
    /// When the member last answered.
    pub last_response: TimestampMs,
    /// When `matched` last grew, or sending resumed.
    pub last_progress: TimestampMs,
    /// The newest confirmation round that the member answered.
    pub round: u64,
}

impl Progress {
    pub fn new(incarnation: Incarnation, next: LogIndex, now: TimestampMs) -> Self {
        Self {
            incarnation,
            matched: LogIndex::default(),
            next,
            mode: Mode::Probe { waiting: false },
            last_response: now,
            last_progress: now,
            round: 0,
        }
    }

    pub fn accept(&mut self, matched: LogIndex, now: TimestampMs) {
        if matched > self.matched {
            self.matched = matched;
            self.last_progress = now;
        }
        self.next = self.next.max(self.matched.next());
        let sending_snapshot = matches!(&self.mode, Mode::Snapshot(transfer)
            if transfer.snapshot.last.index > self.matched);
        if !sending_snapshot {
            self.mode = Mode::Stream;
        }
    }

    pub fn reject(&mut self, agreed_at_most: LogIndex) {
        self.next = agreed_at_most.next().max(self.matched.next());
        self.mode = Mode::Probe { waiting: false };
    }

    /// Sends again what is unanswered for longer than `patience_ms`.
    pub fn resend_if_stalled(&mut self, now: TimestampMs, patience_ms: u64) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = false,
            Mode::Stream => {
                let outstanding = self.next > self.matched.next();
                if outstanding && now.since(self.last_progress).get() > patience_ms {
                    self.next = self.matched.next();
                    self.mode = Mode::Probe { waiting: false };
                }
            }
            Mode::Snapshot(transfer) => {
                let stalled =
                    transfer.sent_at.is_some_and(|sent| now.since(sent).get() > 2 * patience_ms);
                if stalled {
                    transfer.sent_at = None;
                }
            }
        }
    }
}
