//! Encoding of a log entry.

use bytes::Bytes;

use crate::format::{u32_at, u64_at};

/// Length of an entry's header: payload length, checksum, term and index.
pub(crate) const ENTRY_HEADER_BYTES: usize = 4 + 4 + 8 + 8;

/// Flag in the top bit of the length that marks the first entry of a group. All entries of a group
/// share one sync.
///
/// An invalid entry before the start of a later group is corrupted, because it was synced before
/// that group was written. Without a later group it can be part of a torn last write.
const GROUP_START_FLAG: u32 = 1 << 31;

/// A log entry as it is stored in the log file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredEntry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Content, which the log does not interpret; must be shorter than 2 GiB.
    pub payload: Bytes,
}

/// An entry decoded from the log file, with its position in a group.
pub(crate) struct DecodedEntry {
    pub entry: StoredEntry,
    pub starts_group: bool,
    pub length_bytes: usize,
}

/// Appends the encoded entry to `buffer`.
pub(crate) fn encode_entry(entry: &StoredEntry, starts_group: bool, buffer: &mut Vec<u8>) {
    let mut length = entry.payload.len() as u32;
    if starts_group {
        length |= GROUP_START_FLAG;
    }
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&entry.term.to_le_bytes());
    hasher.update(&entry.index.to_le_bytes());
    hasher.update(&entry.payload);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&hasher.finalize().to_le_bytes());
    buffer.extend_from_slice(&entry.term.to_le_bytes());
    buffer.extend_from_slice(&entry.index.to_le_bytes());
    buffer.extend_from_slice(&entry.payload);
}

/// Decodes the entry at `offset`, or returns `None` if no entry with a valid checksum starts there.
pub(crate) fn decode_entry(file: &Bytes, offset: usize) -> Option<DecodedEntry> {
    let header = file.get(offset..offset + ENTRY_HEADER_BYTES)?;
    let raw_length = u32_at(header, 0);
    let payload_bytes = (raw_length & !GROUP_START_FLAG) as usize;
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
    // Indexes start at 1, so a zero-filled range is never an entry.
    let index = u64_at(header, 16);
    if index == 0 {
        return None;
    }
    let entry = StoredEntry {
        term: u64_at(header, 8),
        index,
        payload: file.slice(payload_start..payload_end),
    };
    Some(DecodedEntry {
        entry,
        starts_group: raw_length & GROUP_START_FLAG != 0,
        length_bytes: ENTRY_HEADER_BYTES + payload_bytes,
    })
}
