//! Append-only log file.
//!
//! An entry whose index is not above the last one replaces all entries from that index on.
//! Therefore, replacing conflicting entries needs only a single sync, as an append does.

use std::path::{Path, PathBuf};

use bytes::Bytes;

use crate::error::{CorruptedSnafu, StorageError};
use crate::file::{DurableFile, read_if_present, replace_and_open, replace_file};
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
    log_file: LogFile,
    buffer: Vec<u8>,
}

/// The log file and the part of it that is valid.
struct LogFile {
    file: Box<dyn DurableFile>,
    valid_bytes: u64,
    /// Whether an unfinished write may follow the valid part.
    has_tail: bool,
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
        let (opened, file_bytes) = match read_if_present(&path)? {
            Some(content) => {
                let content = Bytes::from(content);
                (read_log(&path, &content)?, content.len())
            }
            None => {
                let header = encode_header(LogBase::default());
                folder.run_unless_failed(|| {
                    replace_file(folder.file_system(), folder.path(), LOG_FILE, &[&header])
                })?;
                let base = LogBase::default();
                (OpenedLog { base, entries: Vec::new(), torn_bytes: 0 }, header.len())
            }
        };
        let file = folder.run_unless_failed(|| open_for_append(folder, &path))?;
        let valid_bytes = file_bytes as u64 - opened.torn_bytes;
        let mut log_file = LogFile { file, valid_bytes, has_tail: opened.torn_bytes > 0 };
        truncate_torn_tail(folder, &path, &mut log_file, opened.torn_bytes)?;
        let store = Self { folder: folder.clone(), path, log_file, buffer: Vec::new() };
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
        let Self { folder, path, log_file, buffer } = self;
        folder.run_unless_failed(|| log_file.append(path, buffer))
    }

    /// Replaces the log file atomically by one that starts at `base` and holds `entries`.
    pub fn rewrite(&mut self, base: LogBase, entries: &[StoredEntry]) -> Result<(), StorageError> {
        self.buffer.clear();
        self.buffer.extend_from_slice(&encode_header(base));
        for (position, entry) in entries.iter().enumerate() {
            encode_entry(entry, position == 0, &mut self.buffer);
        }
        let Self { folder, log_file, buffer, .. } = self;
        let file = folder.run_unless_failed(|| {
            replace_and_open(folder.file_system(), folder.path(), LOG_FILE, &[buffer])
        })?;
        *log_file = LogFile { file, valid_bytes: buffer.len() as u64, has_tail: false };
        // The buffer of a compaction can be large, so its memory is released.
        self.buffer = Vec::new();
        Ok(())
    }
}

impl LogFile {
    /// Appends `bytes` and syncs them. On a full disk, the part that was written is cut off again.
    fn append(&mut self, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        self.cut_tail(path)?;
        self.has_tail = true;
        match self.write(path, bytes) {
            Ok(()) => {
                self.has_tail = false;
                self.valid_bytes += bytes.len() as u64;
                Ok(())
            }
            Err(error @ StorageError::DiskFull { .. }) => {
                match self.cut_tail(path) {
                    // The next append cuts the tail off if the full disk prevents it here.
                    Ok(()) | Err(StorageError::DiskFull { .. }) => Err(error),
                    Err(cut_error) => Err(cut_error),
                }
            }
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        self.file.append(bytes).map_err(|source| StorageError::from_io(path, source))?;
        self.sync(path)
    }

    fn sync(&mut self, path: &Path) -> Result<(), StorageError> {
        self.file.sync().map_err(|source| StorageError::from_sync(path, source))
    }

    /// Cuts off what follows the valid part; the sync of the next append makes this durable.
    fn cut_tail(&mut self, path: &Path) -> Result<(), StorageError> {
        if self.has_tail {
            self.file
                .truncate(self.valid_bytes)
                .map_err(|source| StorageError::from_io(path, source))?;
            self.has_tail = false;
        }
        Ok(())
    }
}

fn open_for_append(folder: &DataFolder, path: &Path) -> Result<Box<dyn DurableFile>, StorageError> {
    let opened = folder.file_system().open_for_append(path);
    opened.map_err(|source| StorageError::from_io(path, source))
}

fn truncate_torn_tail(
    folder: &DataFolder,
    path: &Path,
    log_file: &mut LogFile,
    torn_bytes: u64,
) -> Result<(), StorageError> {
    if torn_bytes == 0 {
        return Ok(());
    }
    let result = folder.run_unless_failed(|| {
        log_file.cut_tail(path)?;
        log_file.sync(path)
    });
    match result {
        Ok(()) => {
            log::warn!(
                event = "torn_tail_cut", torn_bytes = torn_bytes;
                "cut an unfinished last write off the log"
            );
            Ok(())
        }
        // A folder on a full disk can be opened; the next append repeats what failed here.
        Err(StorageError::DiskFull { .. }) => Ok(()),
        Err(error) => Err(error),
    }
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
