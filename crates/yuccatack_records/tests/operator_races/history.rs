//! The checker for the history of records.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::prelude::*;
use yuccatack_records::{
    Change, ChangeOutcome, MAX_RETAINED_AGE, Operation, RecordKey, RecordStore, RefusalKind,
    decode_key,
};

/// What the runs contained.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub accepted: u64,
    pub conflicts: u64,
    pub repeated: u64,
    pub resent_when_forgotten: u64,
}

#[derive(Debug)]
struct FirstAnswer {
    change: Change,
    outcome: ChangeOutcome,
    applied_at: TimestampMs,
}

/// Everything that was applied, in the order of the log.
#[derive(Debug, Default)]
pub struct History {
    first_answers: BTreeMap<ChangeId, FirstAnswer>,
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
        if let Some(first) = self.first_answers.get(&change.change_id) {
            assert_eq!(&first.change, change, "the simulation reuses no id");
            let forgotten = self.latest.since(first.applied_at) > MAX_RETAINED_AGE;
            if !forgotten {
                assert_eq!(outcome, &first.outcome, "resend of {change:?}");
                self.summary.repeated += 1;
                return;
            }
            if outcome == &first.outcome {
                // Forgetting happens with the next remembered change, so a resend may still be
                // answered by the first answer.
                return;
            }
            self.summary.resent_when_forgotten += 1;
            let first_accepted = matches!(first.outcome, ChangeOutcome::Accepted { .. });
            if first_accepted {
                let refused = matches!(outcome, ChangeOutcome::Refused(_));
                assert!(refused, "{change:?} was applied twice");
                return;
            }
        }
        self.check_first(change, outcome);
        let answer = FirstAnswer {
            change: change.clone(),
            outcome: outcome.clone(),
            applied_at: self.latest,
        };
        self.first_answers.insert(change.change_id.clone(), answer);
    }

    fn check_first(&mut self, change: &Change, outcome: &ChangeOutcome) {
        let key = decode_key(change.document.as_bytes()).unwrap();
        let current = self.generations.entry(key.clone()).or_default();
        let in_force = self.in_force.contains_key(&key);
        let fits = change.replaces_generation.get() == *current
            && in_force == (change.operation != Operation::Submit);
        match outcome {
            ChangeOutcome::Accepted { generation, revision } => {
                assert!(fits, "{change:?} overwrote generation {current} unseen");
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
                assert!(!fits, "{change:?} was refused without reason: {refusal:?}");
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

    /// Checks that a store holds exactly what the history says.
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
