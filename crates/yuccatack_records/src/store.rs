//! The replicated state of all records.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::change::{Change, ChangeOutcome, Operation, Refusal, RefusalKind};
use crate::change_history::{ChangeHistory, RetainedChange};
use crate::record::{Record, RecordKey, RecordKind};
use crate::references;
use crate::wire::{decode_document, decode_key};
use crate::withdrawn::WithdrawnNames;

/// The longest change id; it is remembered for days and printed in logs.
const MAX_CHANGE_ID_LENGTH_BYTES: usize = 128;

/// A record in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The version of the record.
    pub generation: Generation,
    /// The change that brought this version.
    pub revision: Revision,
    /// The schema version that the operator wrote.
    pub schema_version: u64,
    /// The document as written.
    pub document: Arc<str>,
    /// The content.
    pub record: Arc<Record>,
}

/// All records, their generations and the remembered changes.
///
/// Every replica that applies the same changes with the same times holds an equal store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordStore {
    revision: Revision,
    /// The latest time of any change; a leader whose clock is behind does not move it back.
    clock: TimestampMs,
    records: BTreeMap<RecordKey, StoredRecord>,
    withdrawn: WithdrawnNames,
    history: ChangeHistory,
}

/// A change that passed every check of the store and is not yet applied.
#[derive(Clone, Debug)]
pub struct ValidatedChange {
    change: Change,
    key: RecordKey,
    generation: Generation,
    /// The revision of the store that the check saw.
    seen_revision: Revision,
    content: Option<(u64, Arc<Record>)>,
}

impl ValidatedChange {
    /// The record that the change is about.
    pub const fn key(&self) -> &RecordKey {
        &self.key
    }

    /// The change itself.
    pub const fn change(&self) -> &Change {
        &self.change
    }

    /// The new content; `None` for a withdrawal.
    pub fn record(&self) -> Option<&Arc<Record>> {
        self.content.as_ref().map(|(_, record)| record)
    }

    /// The generation that the record gets when the change is committed.
    pub const fn generation(&self) -> Generation {
        self.generation
    }
}

impl RecordStore {
    /// Checks a change and applies it.
    pub fn apply(&mut self, change: &Change, now: TimestampMs) -> ChangeOutcome {
        match self.validate(change, now) {
            Ok(validated) => self.commit(validated, now),
            Err(outcome) => {
                self.retain_outcome(change, &outcome, now);
                outcome
            }
        }
    }

    /// Checks a change without applying it.
    ///
    /// The error is the final answer: the remembered first answer to a resend, or a refusal, which
    /// the caller passes to [`Self::retain_outcome`]. Between this and [`Self::commit`] the caller may
    /// check what only it knows; both run within the application of one log entry. The time is not
    /// used for decisions today and is taken so that a check by time stays deterministic.
    pub fn validate(
        &self,
        change: &Change,
        _now: TimestampMs,
    ) -> Result<ValidatedChange, ChangeOutcome> {
        if let Some(first) = self.history.get(&change.change_id) {
            return Err(self.repeat(change, first));
        }
        self.check(change).map_err(ChangeOutcome::Refused)
    }

    /// Applies a change that was checked against this state of the store.
    pub fn commit(&mut self, validated: ValidatedChange, now: TimestampMs) -> ChangeOutcome {
        if validated.seen_revision != self.revision {
            let message = "another change was applied between the check and the commit; send the \
                           change again";
            return ChangeOutcome::Refused(Refusal::new(RefusalKind::Superseded, message));
        }
        let now = self.advance_clock(now);
        let ValidatedChange { change, key, generation, content, .. } = validated;
        debug_assert!(generation > self.current_generation(&key), "{key} would go back");
        self.revision = self.revision.next();
        let revision = self.revision;
        match content {
            Some((schema_version, record)) => {
                let document = Arc::clone(&change.document);
                let stored =
                    StoredRecord { generation, revision, schema_version, document, record };
                self.records.insert(key.clone(), stored);
            }
            None => {
                self.records.remove(&key);
                self.withdrawn.insert(&key, generation);
            }
        }
        let outcome = ChangeOutcome::Accepted { generation, revision };
        self.history.remember(&change, Some(key), &outcome, now);
        outcome
    }

    /// Remembers the refusal of a change, so that a resend gets the same answer.
    ///
    /// An id that is remembered already keeps its first answer.
    pub fn retain_outcome(&mut self, change: &Change, outcome: &ChangeOutcome, now: TimestampMs) {
        let now = self.advance_clock(now);
        // A malformed id is refused for its form alone and takes no memory.
        if check_change_id(&change.change_id).is_ok() {
            let key = decode_key(change.document.as_bytes()).ok();
            self.history.remember(change, key, outcome, now);
        }
    }

    /// The newest change.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The record in force under a kind and name.
    pub fn get(&self, key: &RecordKey) -> Option<&StoredRecord> {
        self.records.get(key)
    }

    /// Every record in force, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&RecordKey, &StoredRecord)> {
        self.records.iter()
    }

    /// The records in force of one kind, by name.
    pub fn list(&self, kind: RecordKind) -> impl Iterator<Item = (&RecordKey, &StoredRecord)> {
        self.records.iter().filter(move |(key, _)| key.kind == kind)
    }

    /// A change while it is remembered.
    pub fn change(&self, change_id: &ChangeId) -> Option<&RetainedChange> {
        self.history.get(change_id)
    }

    /// How many changes are remembered.
    pub fn retained_change_count(&self) -> usize {
        self.history.count()
    }

    /// The generation of a record in force or of its withdrawal; 0 when the name was never in use.
    pub fn current_generation(&self, key: &RecordKey) -> Generation {
        match self.records.get(key) {
            Some(stored) => stored.generation,
            None => self.withdrawn.generation(key),
        }
    }

    fn advance_clock(&mut self, now: TimestampMs) -> TimestampMs {
        self.clock = self.clock.max(now);
        self.clock
    }

    fn repeat(&self, change: &Change, first: &RetainedChange) -> ChangeOutcome {
        if first.digest == change.content_digest() {
            return first.outcome.clone();
        }
        let message = format!(
            "change id `{}` was used for another change; send this one with a new change id",
            change.change_id
        );
        ChangeOutcome::Refused(Refusal::new(RefusalKind::ChangeIdReused, &message))
    }

    fn check(&self, change: &Change) -> Result<ValidatedChange, Refusal> {
        check_change_id(&change.change_id)?;
        let document = change.document.as_bytes();
        let refuse = |problems: Vec<_>| Refusal::from_problems(&problems);
        let (key, content) = match change.operation {
            Operation::Withdraw => (decode_key(document).map_err(refuse)?, None),
            Operation::Submit | Operation::Change => {
                let decoded = decode_document(document).map_err(refuse)?;
                (decoded.key, Some((decoded.schema_version, Arc::new(decoded.record))))
            }
        };
        self.check_generation(change, &key)?;
        match &content {
            Some((_, record)) => references::check_targets(&self.records, record)?,
            None => references::check_dependants(&self.records, &key)?,
        }
        let generation = self.current_generation(&key).next();
        let seen_revision = self.revision;
        Ok(ValidatedChange { change: change.clone(), key, generation, seen_revision, content })
    }

    fn check_generation(&self, change: &Change, key: &RecordKey) -> Result<(), Refusal> {
        let current = self.current_generation(key);
        let in_force = self.records.contains_key(key);
        match change.operation {
            Operation::Submit if in_force => {
                let message = format!(
                    "{key} is in force already at generation {current}; to replace it, send a \
                     change with replaces_generation {current}, or choose another name"
                );
                return Err(
                    Refusal::new(RefusalKind::Duplicate, &message).with_current_generation(current)
                );
            }
            Operation::Change | Operation::Withdraw if !in_force => {
                let message = format!(
                    "{key} is not in force; submit it with replaces_generation {current}, or \
                     correct kind and name"
                );
                return Err(
                    Refusal::new(RefusalKind::NotFound, &message).with_current_generation(current)
                );
            }
            Operation::Submit | Operation::Change | Operation::Withdraw => {}
        }
        if change.replaces_generation != current {
            return Err(Refusal::conflict(key, change.replaces_generation, current));
        }
        Ok(())
    }
}

fn check_change_id(change_id: &ChangeId) -> Result<(), Refusal> {
    let text = change_id.as_str();
    let valid = !text.is_empty()
        && text.len() <= MAX_CHANGE_ID_LENGTH_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if valid {
        return Ok(());
    }
    let message = format!(
        "a change id has 1 to {MAX_CHANGE_ID_LENGTH_BYTES} printable ASCII characters without \
         spaces; choose a new random one, for example a UUID"
    );
    Err(Refusal::new(RefusalKind::InvalidChange, &message))
}
