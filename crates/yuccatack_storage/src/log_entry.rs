//! The encoding of one log entry.

use bytes::Bytes;

use crate::format::{u32_at, u64_at};

/// Length, checksum, term and index precede the payload.
pub(crate) const ENTRY_HEADER_BYTES: usize = 4 + 4 + 8 + 8;

/// Marks the first entry of a group that was synced together; the top bit of the length.
///
/// A damaged entry followed by the start of a later group was synced before that group was
/// written, so it is corruption. Without a later group it may be the torn tail of the last write.
const GROUP_START: u32 = 1 << 31;

/// One entry as the log file holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredEntry {
    /// The term of the leader that made the entry.
    pub term: u64,
    /// The position of the entry.
    pub index: u64,
    /// The content; the log does not look into it.
    pub payload: Bytes,
}

/// An entry found in the log file.
pub(crate) struct FoundEntry {
    pub entry: StoredEntry,
    pub starts_group: bool,
    pub length_bytes: usize,
}

pub(crate) fn encode_entry(entry: &StoredEntry, starts_group: bool, into: &mut Vec<u8>) {
    let mut length = entry.payload.len() as u32;
    if starts_group {
        length |= GROUP_START;
    }
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&entry.term.to_le_bytes());
    hasher.update(&entry.index.to_le_bytes());
    hasher.update(&entry.payload);
    into.extend_from_slice(&length.to_le_bytes());
    into.extend_from_slice(&hasher.finalize().to_le_bytes());
    into.extend_from_slice(&entry.term.to_le_bytes());
    into.extend_from_slice(&entry.index.to_le_bytes());
    into.extend_from_slice(&entry.payload);
}

/// Reads the entry at `offset`, or nothing when none with a right checksum starts there.
pub(crate) fn decode_entry(file: &Bytes, offset: usize) -> Option<FoundEntry> {
    let header = file.get(offset..offset + ENTRY_HEADER_BYTES)?;
    let raw_length = u32_at(header, 0);
    let payload_bytes = (raw_length & !GROUP_START) as usize;
    let payload_start = offset + ENTRY_HEADER_BYTES;
    let payload_end = payload_start.checked_add(payload_bytes)?;
    if payload_end > file.len() {
        return None;
    }
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[0..4]);
    hasher.update(&header[8..24]);
    hasher.update(&file[payload_start..payload_end]);
    if hasher.finalize() != u32_at(header, 4) {
        return None;
    }
    // A run of zeros is no entry: index 0 does not exist.
    let index = u64_at(header, 16);
    if index == 0 {
        return None;
    }
    let entry = StoredEntry {
        term: u64_at(header, 8),
        index,
        payload: file.slice(payload_start..payload_end),
    };
    Some(FoundEntry {
        entry,
        starts_group: raw_length & GROUP_START != 0,
        length_bytes: ENTRY_HEADER_BYTES + payload_bytes,
    })
}
