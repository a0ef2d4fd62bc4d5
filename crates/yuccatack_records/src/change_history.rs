//! The bounded memory of change ids, so that a resend gets the first answer.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::change::{Change, ChangeOutcome, ContentDigest};
use crate::record::RecordKey;

/// The most remembered changes: a week of the design size (6,700 changes and 8,600 jobs a day).
pub const MAX_RETAINED_CHANGE_COUNT: usize = 120_000;
/// The longest time that a change is remembered.
pub const MAX_RETAINED_AGE: DurationMs = DurationMs::from_seconds(7 * 24 * 3600);

/// The most bytes of remembered refusals: a client that repeats a bad change for a week, each time
/// with a new id and several kilobytes of problems, must not fill the memory of every replica.
pub const MAX_RETAINED_MESSAGE_BYTES: u64 = 32 << 20;

/// A remembered change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RetainedChange {
    /// The digest of its content.
    pub digest: ContentDigest,
    /// When it was applied.
    pub applied_at: TimestampMs,
    /// The record, if the document named one.
    pub key: Option<RecordKey>,
    /// The answer.
    pub outcome: ChangeOutcome,
}

/// The remembered changes, oldest forgotten first.
///
/// Forgetting is safe: an accepted change that is sent again after that replaces a generation that
/// is no longer the current one, and is refused by the check of generations.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeHistory {
    changes: BTreeMap<ChangeId, RetainedChange>,
    order: VecDeque<(TimestampMs, ChangeId)>,
    message_bytes: u64,
}

impl ChangeHistory {
    /// The change with this id, while it is remembered.
    pub fn get(&self, change_id: &ChangeId) -> Option<&RetainedChange> {
        self.changes.get(change_id)
    }

    /// How many changes are remembered.
    pub fn count(&self) -> usize {
        self.changes.len()
    }

    /// Remembers the first answer to a change; a later answer to the same id changes nothing.
    pub(crate) fn remember(
        &mut self,
        change: &Change,
        key: Option<RecordKey>,
        outcome: &ChangeOutcome,
        now: TimestampMs,
    ) {
        if self.changes.contains_key(&change.change_id) {
            return;
        }
        let remembered = RetainedChange {
            digest: change.content_digest(),
            applied_at: now,
            key,
            outcome: outcome.clone(),
        };
        self.message_bytes += message_bytes(outcome);
        self.changes.insert(change.change_id.clone(), remembered);
        self.order.push_back((now, change.change_id.clone()));
        self.forget(now);
    }

    fn forget(&mut self, now: TimestampMs) {
        while let Some((applied_at, _)) = self.order.front() {
            let expired = now.since(*applied_at) > MAX_RETAINED_AGE;
            let too_many = self.order.len() > MAX_RETAINED_CHANGE_COUNT
                || self.message_bytes > MAX_RETAINED_MESSAGE_BYTES;
            if !expired && !too_many {
                return;
            }
            let oldest = self.order.pop_front();
            if let Some(forgotten) = oldest.and_then(|(_, id)| self.changes.remove(&id)) {
                self.message_bytes -= message_bytes(&forgotten.outcome);
            }
        }
    }
}

fn message_bytes(outcome: &ChangeOutcome) -> u64 {
    match outcome {
        ChangeOutcome::Accepted { .. } => 0,
        ChangeOutcome::Refused(refusal) => refusal.message.len() as u64,
    }
}
