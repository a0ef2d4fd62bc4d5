//! In-memory part of the replicated log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identifiers::{LogIndex, Term};
use crate::membership::Membership;

/// Payload of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a new leader, which carries no command.
    Empty,
    /// Encoded command for the replicated state.
    Command(Bytes),
    /// Membership that takes effect with this entry, before it is committed.
    Membership(Membership),
}

/// Entry of the replicated log, identified by its index and term.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position of the entry in the log.
    pub index: LogIndex,
    /// Command, membership or nothing.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Estimates the size of the entry in a message.
    pub fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Empty => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Membership(membership) => 64 * membership.replicas().len(),
        };
        32 + payload
    }
}

/// Position in the log with the term of its entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Index of the entry; 0 before the first entry.
    pub index: LogIndex,
    /// Term of the entry; 0 before the first entry.
    pub term: Term,
}

impl LogPosition {
    /// Returns `true` if a log that ends here holds every entry that a log ending at `other` may
    /// have committed.
    pub fn is_up_to_date_with(self, other: Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// Log entries after a base position, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: LogPosition,
    entries: Vec<LogEntry>,
    /// Size of all entries up to the base that this value has held.
    base_offset_bytes: u64,
    /// Size of all entries up to and including the one at the same position in `entries`.
    end_offsets_bytes: Vec<u64>,
}

impl Log {
    /// Creates a log from the entries after `base`.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        let mut log = Self { base, entries: Vec::new(), ..Self::default() };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Returns the position before the first entry.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the position of the last entry, or the base if there are no entries.
    pub fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.base, |entry| LogPosition { index: entry.index, term: entry.term })
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let after_base = index.get().checked_sub(self.base.index.get())?;
        usize::try_from(after_base.checked_sub(1)?).ok()
    }

    /// Returns the entry at `index`, unless it is compacted or not appended yet.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term at `index`, which may also be the base.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entries from `first` on up to about `limit_bytes`, and at least one if there is
    /// any.
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

    /// Returns the size of the entries after `first` up to and including `last`, as far as they are in
    /// the log.
    pub fn bytes_between(&self, first: LogIndex, last: LogIndex) -> u64 {
        self.end_offset_bytes(last).saturating_sub(self.end_offset_bytes(first))
    }

    fn end_offset_bytes(&self, index: LogIndex) -> u64 {
        let Some(position) = self.position(index) else { return self.base_offset_bytes };
        let last = self.end_offsets_bytes.last().copied().unwrap_or(self.base_offset_bytes);
        self.end_offsets_bytes.get(position).copied().unwrap_or(last)
    }

    /// Returns all entries after the base.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Appends an entry; its index must follow the last one.
    pub fn push(&mut self, entry: LogEntry) {
        let last = self.last();
        assert_eq!(entry.index, last.index.next(), "append leaves a gap after {}", last.index);
        assert!(entry.term >= last.term, "the term decreases at log index {}", entry.index);
        let end_bytes = self.end_offset_bytes(last.index) + entry.size_bytes() as u64;
        self.end_offsets_bytes.push(end_bytes);
        self.entries.push(entry);
    }

    /// Removes all entries after `last`.
    pub fn truncate_after(&mut self, last: LogIndex) {
        assert!(last >= self.base.index, "truncation after {last} removes compacted entries");
        let kept_count = (last.get() - self.base.index.get()) as usize;
        self.entries.truncate(kept_count);
        self.end_offsets_bytes.truncate(kept_count);
    }

    /// Drops all entries up to and including `index`, which becomes the base.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(entry) = self.entry(index) else { return };
        let base = LogPosition { index, term: entry.term };
        let removed_count = (index.get() - self.base.index.get()) as usize;
        self.base_offset_bytes = self.end_offset_bytes(index);
        self.entries.drain(..removed_count);
        self.end_offsets_bytes.drain(..removed_count);
        self.base = base;
    }

    /// Drops all entries and sets the base.
    pub fn reset(&mut self, base: LogPosition) {
        self.base = base;
        self.entries.clear();
        self.end_offsets_bytes.clear();
    }

    /// Returns the last position at or before `index` with a term of at most `term`.
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
