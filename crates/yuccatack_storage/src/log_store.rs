//! Append-only log file.
//!
//! An entry whose index is not above the last one replaces all entries from that index on.
//! Therefore, replacing conflicting entries needs only a single sync, as an append does.

use std::fs;
use std::path::{Path, PathBuf};

use bytes::Bytes;

use crate::error::{CorruptedSnafu, StorageError};
use crate::file::{DurableFile, read_if_present, replace_file};
use crate::folder::DataFolder;
use crate::format::{u32_at, u64_at};
use crate::log_entry::{StoredEntry, decode_entry, encode_entry};

pub(crate) const LOG_FILE: &str = "log";
const MAGIC: &[u8; 8] = b"yuclog1\n";
const FILE_HEADER_BYTES: usize = 8 + 8 + 8 + 4;

/// The position immediately before the first entry of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogBase {
    /// Index of the last entry that compaction removed or a received snapshot replaced; 0 for none.
    pub index: u64,
    /// Term of that entry; 0 for none.
    pub term: u64,
}

/// The log of a data folder, open for appending.
pub struct LogStore {
    folder: DataFolder,
    path: PathBuf,
    file: Box<dyn DurableFile>,
    buffer: Vec<u8>,
}

/// The content of the log that [`LogStore::open`] recovered.
#[derive(Debug)]
pub struct OpenedLog {
    /// Position before the first entry.
    pub base: LogBase,
    /// Entries after the base, without gaps.
    pub entries: Vec<StoredEntry>,
    /// Number of bytes of a torn last write that were truncated.
    pub torn_bytes: u64,
}

impl LogStore {
    /// Opens the log file, creates it if it is missing, and truncates a torn last write.
    pub fn open(folder: &DataFolder) -> Result<(Self, OpenedLog), StorageError> {
        let path = folder.path().join(LOG_FILE);
        let opened = match read_if_present(&path)? {
            Some(content) => read_log(&path, &Bytes::from(content))?,
            None => {
                let header = encode_header(LogBase::default());
                replace_file(folder.file_system(), folder.path(), LOG_FILE, &[&header])?;
                OpenedLog { base: LogBase::default(), entries: Vec::new(), torn_bytes: 0 }
            }
        };
        let mut file = open_for_append(folder, &path)?;
        if opened.torn_bytes > 0 {
            truncate_torn_tail(&path, file.as_mut(), opened.torn_bytes)?;
        }
        let store = Self { folder: folder.clone(), path, file, buffer: Vec::new() };
        Ok((store, opened))
    }

    /// Appends `entries` as one group with a single sync; they are on disk when this returns.
    pub fn append(&mut self, entries: &[StoredEntry]) -> Result<(), StorageError> {
        if entries.is_empty() {
            return Ok(());
        }
        self.buffer.clear();
        for (position, entry) in entries.iter().enumerate() {
            encode_entry(entry, position == 0, &mut self.buffer);
        }
        let Self { folder, path, file, buffer } = self;
        folder.run_unless_failed(|| {
            file.append(buffer).map_err(|source| StorageError::from_io(path, source))?;
            file.sync().map_err(|source| StorageError::from_sync(path, source))
        })
    }

    /// Replaces the log file atomically by one that starts at `base` and holds `entries`.
    pub fn rewrite(&mut self, base: LogBase, entries: &[StoredEntry]) -> Result<(), StorageError> {
        self.buffer.clear();
        self.buffer.extend_from_slice(&encode_header(base));
        for (position, entry) in entries.iter().enumerate() {
            encode_entry(entry, position == 0, &mut self.buffer);
        }
        let Self { folder, path, file, buffer } = self;
        let reopened = folder.run_unless_failed(|| {
            replace_file(folder.file_system(), folder.path(), LOG_FILE, &[buffer])?;
            open_for_append(folder, path)
        })?;
        *file = reopened;
        // The buffer of a compaction can be large, so its memory is released.
        self.buffer = Vec::new();
        Ok(())
    }
}

fn open_for_append(folder: &DataFolder, path: &Path) -> Result<Box<dyn DurableFile>, StorageError> {
    let opened = folder.file_system().open_for_append(path);
    opened.map_err(|source| StorageError::from_io(path, source))
}

fn truncate_torn_tail(
    path: &Path,
    file: &mut dyn DurableFile,
    torn_bytes: u64,
) -> Result<(), StorageError> {
    let metadata = fs::metadata(path).map_err(|source| StorageError::from_io(path, source))?;
    file.truncate(metadata.len().saturating_sub(torn_bytes))
        .map_err(|source| StorageError::from_io(path, source))?;
    file.sync().map_err(|source| StorageError::from_sync(path, source))?;
    log::warn!(
        event = "torn_tail_cut", torn_bytes = torn_bytes;
        "cut an unfinished last write off the log"
    );
    Ok(())
}

fn encode_header(base: LogBase) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&base.index.to_le_bytes());
    bytes.extend_from_slice(&base.term.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn decode_header(bytes: &[u8]) -> Option<LogBase> {
    let header = bytes.get(..FILE_HEADER_BYTES)?;
    if !header.starts_with(MAGIC) || u32_at(header, 24) != crc32fast::hash(&header[..24]) {
        return None;
    }
    Some(LogBase { index: u64_at(header, 8), term: u64_at(header, 16) })
}

fn read_log(path: &Path, file: &Bytes) -> Result<OpenedLog, StorageError> {
    let corrupted = |offset: usize, detail| {
        CorruptedSnafu { path, offset_bytes: offset as u64, detail }.build()
    };
    // The file is created by an atomic rename, so its header is never torn.
    let base = decode_header(file).ok_or_else(|| corrupted(0, "wrong header"))?;
    let mut entries: Vec<StoredEntry> = Vec::new();
    let mut offset = FILE_HEADER_BYTES;
    while offset < file.len() {
        let Some(decoded) = decode_entry(file, offset) else {
            if has_group_start(file, offset + 1) {
                return Err(corrupted(offset, "wrong checksum before the last write"));
            }
            break;
        };
        let next_index = base.index + 1 + entries.len() as u64;
        if decoded.entry.index <= base.index || decoded.entry.index > next_index {
            return Err(corrupted(offset, "gap between entries"));
        }
        entries.truncate((decoded.entry.index - base.index - 1) as usize);
        entries.push(decoded.entry);
        offset += decoded.length_bytes;
    }
    let torn_bytes = (file.len() - offset.min(file.len())) as u64;
    Ok(OpenedLog { base, entries, torn_bytes })
}

/// Returns `true` if a group of entries starts at any byte from `offset` on.
///
/// Every byte is tried, because the length of an invalid entry is unreliable.
fn has_group_start(file: &Bytes, offset: usize) -> bool {
    (offset..file.len())
        .any(|candidate| decode_entry(file, candidate).is_some_and(|decoded| decoded.starts_group))
}
