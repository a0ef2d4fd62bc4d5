//! The log in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identifiers::{LogIndex, Term};
use crate::membership::Membership;

/// The content of an entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader.
    Empty,
    /// A command for the replicated state.
    Command(Bytes),
    /// The members from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that made the entry.
    pub term: Term,
    /// The position of the entry.
    pub index: LogIndex,
    /// The content.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// About how many bytes the entry needs in a message.
    pub fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Empty => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Membership(membership) => 64 * membership.replicas().len(),
        };
        32 + payload
    }
}

/// A position and the term of the entry there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The index.
    pub index: LogIndex,
    /// The term.
    pub term: Term,
}

impl LogPosition {
    /// Whether a log that ends here holds everything that a log ending at `other` can have
    /// committed.
    pub fn is_up_to_date_with(self, other: Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// Entries after a base, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: LogPosition,
    entries: Vec<LogEntry>,
}

impl Log {
    /// A log that starts after `base`.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        let log = Self { base, entries };
        log.assert_contiguous();
        log
    }

    fn assert_contiguous(&self) {
        let mut previous = self.base;
        for entry in &self.entries {
            assert_eq!(entry.index, previous.index.next(), "the log has a gap");
            assert!(entry.term >= previous.term, "terms decrease in the log at {}", entry.index);
            previous = LogPosition { index: entry.index, term: entry.term };
        }
    }

    /// The position before the first entry.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The position of the last entry.
    pub fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.base, |entry| LogPosition { index: entry.index, term: entry.term })
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let after_base = index.get().checked_sub(self.base.index.get())?;
        usize::try_from(after_base.checked_sub(1)?).ok()
    }

    /// The entry at `index`.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// The term at `index`, where the log knows it.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entries from `first` on, at least one and up to about `limit_bytes`.
    pub fn slice(&self, first: LogIndex, limit_bytes: usize) -> &[LogEntry] {
        let Some(start) = self.position(first) else { return &[] };
        let Some(rest) = self.entries.get(start..) else { return &[] };
        let mut size_bytes = 0;
        let mut count = 0;
        for entry in rest {
            size_bytes += entry.size_bytes();
            if count > 0 && size_bytes > limit_bytes {
                break;
            }
            count += 1;
        }
        &rest[..count]
    }

    /// All entries after the base.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Appends one entry.
    pub fn push(&mut self, entry: LogEntry) {
        let last = self.last();
        assert_eq!(entry.index, last.index.next(), "the log would get a gap");
        assert!(entry.term >= last.term, "the term of entry {} decreases", entry.index);
        self.entries.push(entry);
    }

    /// Removes all entries after `last`.
    pub fn truncate_after(&mut self, last: LogIndex) {
        assert!(last >= self.base.index, "the compacted part of the log would be cut");
        self.entries.truncate((last.get() - self.base.index.get()) as usize);
    }

    /// Forgets all entries up to and including `index`.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(entry) = self.entry(index) else { return };
        let base = LogPosition { index, term: entry.term };
        self.entries.drain(..(index.get() - self.base.index.get()) as usize);
        self.base = base;
    }

    /// Starts over after `base`.
    pub fn reset(&mut self, base: LogPosition) {
        self.base = base;
        self.entries.clear();
    }

    /// The last position at or before `index` whose term is not above `term`.
    pub fn last_with_term_up_to(&self, index: LogIndex, term: Term) -> LogPosition {
        let mut candidate = index.min(self.last().index);
        while candidate > self.base.index {
            match self.term_at(candidate) {
                Some(found) if found > term => candidate = candidate.previous(),
                Some(found) => return LogPosition { index: candidate, term: found },
                None => break,
            }
        }
        self.base
    }
}
