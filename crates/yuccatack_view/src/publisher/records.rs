//! Published records, and the recent changes from which a returning node can resume.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use yuccatack_core::prelude::*;
use yuccatack_records::RecordKey;

use crate::message::{PublishedRecord, RecordUpdate};

/// Maximum number of changes kept for returning nodes; a cluster of the design size has 6,700
/// changes a day.
const MAX_RECENT_CHANGES: usize = 10_000;

/// Published records at one revision.
#[derive(Debug, Default)]
pub struct PublishedRecords {
    revision: Revision,
    records: BTreeMap<RecordKey, Arc<PublishedRecord>>,
    /// Keys of all records changed after `complete_since`, oldest first.
    recent_changes: VecDeque<(Revision, RecordKey)>,
    complete_since: Revision,
}

impl PublishedRecords {
    /// Returns the newest published revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Replaces all records, for example after a snapshot of the replicated state is installed.
    pub fn reset(&mut self, revision: Revision, records: Vec<PublishedRecord>) {
        let records = records.into_iter().filter(|r| PublishedRecord::is_published(r.key.kind));
        self.records = records.map(|record| (record.key.clone(), Arc::new(record))).collect();
        self.recent_changes.clear();
        self.revision = revision;
        self.complete_since = revision;
    }

    /// Applies one committed change and ignores it if it is not newer than the current revision.
    pub fn apply(&mut self, update: RecordUpdate) {
        if update.revision <= self.revision {
            return;
        }
        self.revision = update.revision;
        for record in update.changed {
            if PublishedRecord::is_published(record.key.kind) {
                self.recent_changes.push_back((update.revision, record.key.clone()));
                self.records.insert(record.key.clone(), Arc::new(record));
            }
        }
        for key in update.removed {
            if self.records.remove(&key).is_some() {
                self.recent_changes.push_back((update.revision, key));
            }
        }
        while self.recent_changes.len() > MAX_RECENT_CHANGES {
            if let Some((revision, _)) = self.recent_changes.pop_front() {
                self.complete_since = revision;
            }
        }
    }

    /// Returns `true` if a delta can bring a node at `base` up to date.
    pub fn can_resume_from(&self, base: Revision) -> bool {
        base >= self.complete_since && base <= self.revision
    }

    /// Returns all published records.
    pub fn all(&self) -> Vec<Arc<PublishedRecord>> {
        self.records.values().cloned().collect()
    }

    /// Returns the records changed and the keys of the records removed after `base`.
    pub fn changes_after(&self, base: Revision) -> (Vec<Arc<PublishedRecord>>, Vec<RecordKey>) {
        let start = self.recent_changes.partition_point(|(revision, _)| *revision <= base);
        let keys: BTreeSet<&RecordKey> =
            self.recent_changes.range(start..).map(|(_, key)| key).collect();
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for key in keys {
            match self.records.get(key) {
                Some(record) => changed.push(Arc::clone(record)),
                None => removed.push(key.clone()),
            }
        }
        (changed, removed)
    }
}
