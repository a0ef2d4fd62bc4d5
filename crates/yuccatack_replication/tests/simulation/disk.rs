//! Simulated disk that keeps only synced writes.

use yuccatack_core::Incarnation;
use yuccatack_replication::{
    EntryPayload, HardState, LogEntry, LogIndex, LogPosition, Membership, PersistOperation,
    Recovered, StateSnapshot,
};

#[derive(Clone, Debug)]
pub struct Disk {
    pub incarnation: Incarnation,
    pub hard_state: HardState,
    pub snapshot: Option<StateSnapshot>,
    pub base: LogPosition,
    pub entries: Vec<LogEntry>,
}

impl Disk {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            hard_state: HardState::default(),
            snapshot: None,
            base: LogPosition::default(),
            entries: Vec::new(),
        }
    }

    pub fn write(&mut self, operation: &PersistOperation) {
        match operation {
            PersistOperation::HardState(state) => self.hard_state = *state,
            PersistOperation::Append(entries) => self.append(entries),
            PersistOperation::Snapshot(snapshot) => self.snapshot = Some(snapshot.clone()),
            PersistOperation::RestartLog { base, entries } => {
                self.base = *base;
                self.entries = entries.clone();
            }
        }
    }

    pub fn append(&mut self, entries: &[LogEntry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.get() - self.base.index.get() - 1;
        assert!(kept <= self.entries.len() as u64, "gap before entry {} on disk", first.index);
        self.entries.truncate(kept as usize);
        self.entries.extend_from_slice(entries);
    }

    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.base.index, |entry| entry.index)
    }

    /// Returns the newest membership on the disk, committed or not.
    pub fn membership(&self) -> Membership {
        let in_log = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership.clone()),
            _ => None,
        });
        let in_snapshot = self.snapshot.as_ref().map(|snapshot| snapshot.membership.clone());
        in_log.or(in_snapshot).unwrap_or_default()
    }

    /// Returns the state that a replica recovers. As in the real store, a received snapshot
    /// replaces a log that was not restarted before the process ended.
    pub fn recover(&mut self) -> Recovered {
        if let Some(snapshot) = &self.snapshot {
            let term = if snapshot.last.index == self.base.index {
                Some(self.base.term)
            } else {
                let found = self.entries.iter().find(|entry| entry.index == snapshot.last.index);
                found.map(|entry| entry.term)
            };
            if term != Some(snapshot.last.term) {
                self.base = snapshot.last;
                self.entries.clear();
            }
        }
        Recovered {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            base: self.base,
            entries: self.entries.clone(),
        }
    }
}
