//! Format file of a data folder: format version, replica and incarnation.

use std::path::Path;

use yuccatack_core::Incarnation;

use crate::error::{CorruptedSnafu, StorageError};

/// Newest format version that this program reads, and the version that it writes.
pub const FORMAT_VERSION: u32 = 1;

pub(crate) const FORMAT_FILE: &str = "format";

const MAGIC: &[u8; 8] = b"yucdata\n";
const LENGTH_BYTES: usize = 8 + 4 + 8 + 8 + 4;

/// Content of the format file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Format {
    pub version: u32,
    pub replica_id: u64,
    pub incarnation: Incarnation,
}

impl Format {
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(LENGTH_BYTES);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.extend_from_slice(&self.replica_id.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.get().to_le_bytes());
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the file. The version is checked first, because a newer format may differ in all
    /// bytes after it.
    pub fn decode(path: &Path, bytes: &[u8]) -> Result<Self, StorageError> {
        let corrupted = |detail| CorruptedSnafu { path, offset_bytes: 0u64, detail }.build();
        if bytes.len() < 12 || !bytes.starts_with(MAGIC) {
            return Err(corrupted("not a format file"));
        }
        let version = u32_at(bytes, 8);
        if version > FORMAT_VERSION {
            let path = path.parent().unwrap_or(path).to_owned();
            return Err(StorageError::NewerFormat {
                path,
                found: version,
                supported: FORMAT_VERSION,
            });
        }
        if bytes.len() != LENGTH_BYTES {
            return Err(corrupted("wrong length"));
        }
        let (content, checksum) = bytes.split_at(LENGTH_BYTES - 4);
        if u32_at(checksum, 0) != crc32fast::hash(content) {
            return Err(corrupted("wrong checksum"));
        }
        Ok(Self {
            version,
            replica_id: u64_at(bytes, 12),
            incarnation: Incarnation::new(u64_at(bytes, 20)),
        })
    }
}

/// Reads a little-endian integer at `offset`. Panics if `bytes` is too short.
pub(crate) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let mut raw = [0; 4];
    raw.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(raw)
}

/// Reads a little-endian integer at `offset`. Panics if `bytes` is too short.
pub(crate) fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    let mut raw = [0; 8];
    raw.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(raw)
}
