//! Snapshot file of a data folder, which is replaced atomically.

use bytes::Bytes;

use crate::error::{CorruptedSnafu, StorageError};
use crate::file::{read_if_present, replace_file};
use crate::folder::DataFolder;
use crate::format::{u32_at, u64_at};

pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
const MAGIC: &[u8; 8] = b"yucsnap\n";
const HEADER_BYTES: usize = 8 + 8 + 8 + 4 + 4;

/// A snapshot of the replicated state, which replaces the log up to an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Encoded data of the consensus layer, for example the membership.
    pub metadata: Bytes,
    /// Encoded state of the application.
    pub payload: Bytes,
}

/// Store of the newest snapshot.
#[derive(Debug)]
pub struct SnapshotStore {
    folder: DataFolder,
}

impl SnapshotStore {
    /// Reads the newest snapshot, or `None` if none was saved.
    pub fn open(folder: &DataFolder) -> Result<(Self, Option<Snapshot>), StorageError> {
        let path = folder.path().join(SNAPSHOT_FILE);
        let snapshot = match read_if_present(&path)? {
            None => None,
            Some(content) => Some(decode(Bytes::from(content)).ok_or_else(|| {
                CorruptedSnafu { path, offset_bytes: 0u64, detail: "wrong checksum" }.build()
            })?),
        };
        Ok((Self { folder: folder.clone() }, snapshot))
    }

    /// Replaces the snapshot atomically; it is on disk when this returns.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let header = encode_header(snapshot);
        let parts = [&header[..], &snapshot.metadata, &snapshot.payload];
        self.folder.run_unless_failed(|| {
            replace_file(self.folder.file_system(), self.folder.path(), SNAPSHOT_FILE, &parts)
        })
    }
}

fn encode_header(snapshot: &Snapshot) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&snapshot.index.to_le_bytes());
    bytes.extend_from_slice(&snapshot.term.to_le_bytes());
    bytes.extend_from_slice(&(snapshot.metadata.len() as u32).to_le_bytes());
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes);
    hasher.update(&snapshot.metadata);
    hasher.update(&snapshot.payload);
    bytes.extend_from_slice(&hasher.finalize().to_le_bytes());
    bytes
}

fn decode(content: Bytes) -> Option<Snapshot> {
    let header = content.get(..HEADER_BYTES)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[..HEADER_BYTES - 4]);
    hasher.update(&content[HEADER_BYTES..]);
    if !header.starts_with(MAGIC) || hasher.finalize() != u32_at(header, HEADER_BYTES - 4) {
        return None;
    }
    let metadata_end = HEADER_BYTES.checked_add(u32_at(header, 24) as usize)?;
    if metadata_end > content.len() {
        return None;
    }
    Some(Snapshot {
        index: u64_at(header, 8),
        term: u64_at(header, 16),
        metadata: content.slice(HEADER_BYTES..metadata_end),
        payload: content.slice(metadata_end..),
    })
}
