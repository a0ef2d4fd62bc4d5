//! Replicated state of all records.

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

/// Maximum length of a change id; an id is retained for days and printed in logs.
const MAX_CHANGE_ID_LENGTH_BYTES: usize = 128;

/// A record in force, with its document and versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Number of the record's version; grows with each change and with the withdrawal.
    pub generation: Generation,
    /// Revision of the store at which this generation came into force.
    pub revision: Revision,
    /// Schema version that the document is written in.
    pub schema_version: u64,
    /// JSON document exactly as the operator wrote it.
    pub document: Arc<str>,
    /// Content of the document, converted to the internal type.
    pub record: Arc<Record>,
}

/// All records, their generations and the retained changes.
///
/// The store is deterministic: replicas that apply the same changes with the same times have equal
/// stores.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordStore {
    revision: Revision,
    /// Latest time of any change; a new leader whose clock is behind does not move it back.
    clock: TimestampMs,
    records: BTreeMap<RecordKey, StoredRecord>,
    withdrawn: WithdrawnNames,
    history: ChangeHistory,
}

/// A change that passed all checks of the store and is not yet applied.
#[derive(Clone, Debug)]
pub struct ValidatedChange {
    change: Change,
    key: RecordKey,
    generation: Generation,
    /// Revision of the store that the change was checked against.
    checked_revision: Revision,
    content: Option<(u64, Arc<Record>)>,
}

impl ValidatedChange {
    /// Returns the key of the record that the change affects.
    pub const fn key(&self) -> &RecordKey {
        &self.key
    }

    /// Returns the change as the operator sent it.
    pub const fn change(&self) -> &Change {
        &self.change
    }

    /// Returns the new content of the record, or `None` for a withdrawal.
    pub fn record(&self) -> Option<&Arc<Record>> {
        self.content.as_ref().map(|(_, record)| record)
    }

    /// Returns the generation that the record gets when the change is committed.
    pub const fn generation(&self) -> Generation {
        self.generation
    }
}

impl RecordStore {
    /// Checks a change, applies it if it is valid, and retains its outcome for resends.
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
    /// The error is the final outcome: the retained first outcome of a resend, or a refusal, which
    /// the caller passes to [`Self::retain_outcome`]. Between this call and [`Self::commit`] the
    /// caller may run checks that need state outside the store; both calls belong to the
    /// application of one log entry. The time does not affect any check at present; it is a
    /// parameter so that a check that depends on time is deterministic.
    pub fn validate(
        &self,
        change: &Change,
        _now: TimestampMs,
    ) -> Result<ValidatedChange, ChangeOutcome> {
        if let Some(first) = self.history.get(&change.change_id) {
            return Err(self.resend_outcome(change, first));
        }
        self.check(change).map_err(ChangeOutcome::Refused)
    }

    /// Applies a validated change; refuses it if the store has changed since validation.
    pub fn commit(&mut self, validated: ValidatedChange, now: TimestampMs) -> ChangeOutcome {
        if validated.checked_revision != self.revision {
            let message = "another change was applied between the check and the commit; send the \
                           change again";
            return ChangeOutcome::Refused(Refusal::new(RefusalKind::Superseded, message));
        }
        let now = self.advance_clock(now);
        let ValidatedChange { change, key, generation, content, .. } = validated;
        debug_assert!(generation > self.current_generation(&key), "{key}: {generation} is stale");
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
        self.history.insert(&change, Some(key), &outcome, now);
        outcome
    }

    /// Retains the refusal of a change, so that a resend gets the same outcome.
    ///
    /// An id that is already retained keeps its first outcome.
    pub fn retain_outcome(&mut self, change: &Change, outcome: &ChangeOutcome, now: TimestampMs) {
        let now = self.advance_clock(now);
        // A malformed id is refused the same way each time, so its outcome needs no memory.
        if check_change_id(&change.change_id).is_ok() {
            let key = decode_key(change.document.as_bytes()).ok();
            self.history.insert(change, key, outcome, now);
        }
    }

    /// Returns the revision of the newest accepted change.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the record in force under a kind and name.
    pub fn get(&self, key: &RecordKey) -> Option<&StoredRecord> {
        self.records.get(key)
    }

    /// Iterates over all records in force, ordered by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&RecordKey, &StoredRecord)> {
        self.records.iter()
    }

    /// Iterates over the records in force of one kind, ordered by name.
    pub fn list(&self, kind: RecordKind) -> impl Iterator<Item = (&RecordKey, &StoredRecord)> {
        self.records.iter().filter(move |(key, _)| key.kind == kind)
    }

    /// Returns a retained change, or `None` if the id is unknown or was evicted.
    pub fn change(&self, change_id: &ChangeId) -> Option<&RetainedChange> {
        self.history.get(change_id)
    }

    /// Returns the number of retained changes.
    pub fn retained_change_count(&self) -> usize {
        self.history.count()
    }

    /// Returns the generation of a record in force or of its withdrawal; 0 if the name was never in
    /// use.
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

    fn resend_outcome(&self, change: &Change, first: &RetainedChange) -> ChangeOutcome {
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
        let checked_revision = self.revision;
        Ok(ValidatedChange { change: change.clone(), key, generation, checked_revision, content })
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
