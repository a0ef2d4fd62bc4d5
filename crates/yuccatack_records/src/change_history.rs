//! Bounded history of change ids, from which a resend gets the first outcome.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::change::{Change, ChangeOutcome, ContentDigest};
use crate::record::RecordKey;

/// Maximum number of retained changes: one week at the design size of 6,700 changes and 8,600 jobs
/// a day.
pub const MAX_RETAINED_CHANGE_COUNT: usize = 120_000;
/// Maximum time for which a change is retained, one week.
pub const MAX_RETAINED_AGE: DurationMs = DurationMs::from_seconds(7 * 24 * 3600);

/// Maximum total size of retained refusal messages. A client that repeats a bad change for a week,
/// each time with a new id and several kilobytes of problems, must not exhaust the memory of the
/// replicas.
pub const MAX_RETAINED_MESSAGE_BYTES: u64 = 32 << 20;

/// The outcome of a change, retained so that a resend gets the same one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RetainedChange {
    /// Digest that distinguishes a resend from another change under the same id.
    pub digest: ContentDigest,
    /// Time at which the change was applied or refused.
    pub applied_at: TimestampMs,
    /// Key of the record, if the document contained a valid one.
    pub key: Option<RecordKey>,
    /// Outcome that every resend gets.
    pub outcome: ChangeOutcome,
}

/// The retained changes, evicted oldest first.
///
/// Eviction is safe: an accepted change that is resent later replaces a generation that is no
/// longer the current one, so the generation check refuses it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeHistory {
    changes: BTreeMap<ChangeId, RetainedChange>,
    order: VecDeque<(TimestampMs, ChangeId)>,
    message_bytes: u64,
}

impl ChangeHistory {
    /// Returns the change with this id, or `None` if it is unknown or was evicted.
    pub fn get(&self, change_id: &ChangeId) -> Option<&RetainedChange> {
        self.changes.get(change_id)
    }

    /// Returns the number of retained changes.
    pub fn count(&self) -> usize {
        self.changes.len()
    }

    /// Retains the first outcome of a change; a later outcome of the same id is ignored.
    pub(crate) fn insert(
        &mut self,
        change: &Change,
        key: Option<RecordKey>,
        outcome: &ChangeOutcome,
        now: TimestampMs,
    ) {
        if self.changes.contains_key(&change.change_id) {
            return;
        }
        let retained = RetainedChange {
            digest: change.content_digest(),
            applied_at: now,
            key,
            outcome: outcome.clone(),
        };
        self.message_bytes += message_bytes(outcome);
        self.changes.insert(change.change_id.clone(), retained);
        self.order.push_back((now, change.change_id.clone()));
        self.evict_oldest(now);
    }

    /// Evicts expired changes, and the oldest ones while the history exceeds its limits.
    fn evict_oldest(&mut self, now: TimestampMs) {
        while let Some((applied_at, _)) = self.order.front() {
            let expired = now.since(*applied_at) > MAX_RETAINED_AGE;
            let over_limit = self.order.len() > MAX_RETAINED_CHANGE_COUNT
                || self.message_bytes > MAX_RETAINED_MESSAGE_BYTES;
            if !expired && !over_limit {
                return;
            }
            let oldest = self.order.pop_front();
            if let Some(evicted) = oldest.and_then(|(_, id)| self.changes.remove(&id)) {
                self.message_bytes -= message_bytes(&evicted.outcome);
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
