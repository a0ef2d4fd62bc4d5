//! The published records and the recent changes that let a returning node resume.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use yuccatack_core::prelude::*;
use yuccatack_records::RecordKey;

use crate::message::{PublishedRecord, RecordUpdate};

/// The changes kept for returning nodes; the design size has 6,700 changes a day.
const MAX_RECENT_CHANGES: usize = 10_000;

/// The records as of one revision.
#[derive(Debug, Default)]
pub struct PublishedRecords {
    revision: Revision,
    records: BTreeMap<RecordKey, Arc<PublishedRecord>>,
    /// The keys changed after `complete_from`, oldest first.
    recent: VecDeque<(Revision, RecordKey)>,
    complete_from: Revision,
}

impl PublishedRecords {
    /// The newest revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Replaces everything, for example after a snapshot of the replicated state was installed.
    pub fn reset(&mut self, revision: Revision, records: Vec<PublishedRecord>) {
        let records = records.into_iter().filter(|r| PublishedRecord::is_published(r.key.kind));
        self.records = records.map(|record| (record.key.clone(), Arc::new(record))).collect();
        self.recent.clear();
        self.revision = revision;
        self.complete_from = revision;
    }

    /// Takes one committed change in; an older one changes nothing.
    pub fn apply(&mut self, update: RecordUpdate) {
        if update.revision <= self.revision {
            return;
        }
        self.revision = update.revision;
        for record in update.changed {
            if PublishedRecord::is_published(record.key.kind) {
                self.recent.push_back((update.revision, record.key.clone()));
                self.records.insert(record.key.clone(), Arc::new(record));
            }
        }
        for key in update.removed {
            if self.records.remove(&key).is_some() {
                self.recent.push_back((update.revision, key));
            }
        }
        while self.recent.len() > MAX_RECENT_CHANGES {
            if let Some((revision, _)) = self.recent.pop_front() {
                self.complete_from = revision;
            }
        }
    }

    /// Whether a node at `base` can be brought up to date by a difference.
    pub fn can_resume_from(&self, base: Revision) -> bool {
        base >= self.complete_from && base <= self.revision
    }

    /// Every record.
    pub fn all(&self) -> Vec<Arc<PublishedRecord>> {
        self.records.values().cloned().collect()
    }

    /// The records changed and removed after `base`.
    pub fn changes_after(&self, base: Revision) -> (Vec<Arc<PublishedRecord>>, Vec<RecordKey>) {
        let start = self.recent.partition_point(|(revision, _)| *revision <= base);
        let keys: BTreeSet<&RecordKey> = self.recent.range(start..).map(|(_, key)| key).collect();
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
