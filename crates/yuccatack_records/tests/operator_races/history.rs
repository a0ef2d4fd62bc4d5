//! Checks the outcomes of all changes against a model of the record store.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::prelude::*;
use yuccatack_records::{
    Change, ChangeOutcome, MAX_RETAINED_AGE, Operation, RecordKey, RecordStore, RefusalKind,
    decode_key,
};

/// Numbers of events in one simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub accepted: u64,
    pub conflicts: u64,
    pub repeated: u64,
    pub resent_after_eviction: u64,
}

#[derive(Debug)]
struct FirstOutcome {
    change: Change,
    outcome: ChangeOutcome,
    applied_at: TimestampMs,
}

/// A model of the record store, updated in the order of the log.
#[derive(Debug, Default)]
pub struct History {
    first_outcomes: BTreeMap<ChangeId, FirstOutcome>,
    generations: BTreeMap<RecordKey, u64>,
    in_force: BTreeMap<RecordKey, Arc<str>>,
    revision: u64,
    latest: TimestampMs,
    pub summary: Summary,
}

impl History {
    /// Checks the outcome of one log entry.
    pub fn check(&mut self, change: &Change, now: TimestampMs, outcome: &ChangeOutcome) {
        self.latest = self.latest.max(now);
        if let Some(first) = self.first_outcomes.get(&change.change_id) {
            assert_eq!(&first.change, change, "the simulation must not reuse change ids");
            let expired = self.latest.since(first.applied_at) > MAX_RETAINED_AGE;
            if !expired {
                assert_eq!(outcome, &first.outcome, "resend of {change:?}");
                self.summary.repeated += 1;
                return;
            }
            if outcome == &first.outcome {
                // An expired change is evicted when the next one is retained, so until then a
                // resend still gets the first outcome.
                return;
            }
            self.summary.resent_after_eviction += 1;
            let first_accepted = matches!(first.outcome, ChangeOutcome::Accepted { .. });
            if first_accepted {
                let refused = matches!(outcome, ChangeOutcome::Refused(_));
                assert!(refused, "{change:?} was applied twice");
                return;
            }
        }
        self.check_first(change, outcome);
        let first = FirstOutcome {
            change: change.clone(),
            outcome: outcome.clone(),
            applied_at: self.latest,
        };
        self.first_outcomes.insert(change.change_id.clone(), first);
    }

    fn check_first(&mut self, change: &Change, outcome: &ChangeOutcome) {
        let key = decode_key(change.document.as_bytes()).unwrap();
        let current = self.generations.entry(key.clone()).or_default();
        let in_force = self.in_force.contains_key(&key);
        let is_valid = change.replaces_generation.get() == *current
            && in_force == (change.operation != Operation::Submit);
        match outcome {
            ChangeOutcome::Accepted { generation, revision } => {
                assert!(is_valid, "{change:?} overwrote generation {current}");
                assert_eq!(generation.get(), *current + 1, "{change:?}");
                assert_eq!(revision.get(), self.revision + 1, "{change:?}");
                *current += 1;
                self.revision += 1;
                self.summary.accepted += 1;
                match change.operation {
                    Operation::Submit | Operation::Change => {
                        self.in_force.insert(key, Arc::clone(&change.document));
                    }
                    Operation::Withdraw => {
                        self.in_force.remove(&key);
                    }
                }
            }
            ChangeOutcome::Refused(refusal) => {
                assert!(!is_valid, "valid {change:?} was refused: {refusal:?}");
                assert_eq!(refusal.current_generation.get(), *current, "{refusal:?}");
                let expected = match (change.operation, in_force) {
                    (Operation::Submit, true) => RefusalKind::Duplicate,
                    (Operation::Change | Operation::Withdraw, false) => RefusalKind::NotFound,
                    _ => RefusalKind::Conflict,
                };
                assert_eq!(refusal.kind, expected);
                self.summary.conflicts += 1;
            }
        }
    }

    /// Checks that a store contains exactly the records, generations and revision of the model.
    pub fn check_store(&self, store: &RecordStore) {
        let stored: BTreeMap<RecordKey, Arc<str>> =
            store.iter().map(|(key, stored)| (key.clone(), Arc::clone(&stored.document))).collect();
        assert_eq!(stored, self.in_force);
        assert_eq!(store.revision().get(), self.revision);
        for (key, generation) in &self.generations {
            assert_eq!(store.current_generation(key).get(), *generation, "{key}");
        }
    }
}
