//! The data folder: lock, owner and incarnation.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use yuccatack_core::Incarnation;

use crate::error::{CorruptedSnafu, LockedSnafu, OtherReplicaSnafu, RefusedSnafu, StorageError};
use crate::file::{read_if_present, replace_file, sync_folder};
use crate::format::{FORMAT_FILE, FORMAT_VERSION, Format};
use crate::hard_state::HARD_STATE_FILE;
use crate::log_store::LOG_FILE;
use crate::snapshot::SNAPSHOT_FILE;

const LOCK_FILE: &str = "lock";

/// The files that are written after the format file.
const DATA_FILES: [&str; 3] = [LOG_FILE, HARD_STATE_FILE, SNAPSHOT_FILE];

/// A locked data folder of one replica.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: Arc<Path>,
    replica_id: u64,
    incarnation: Incarnation,
    newly_formatted: bool,
    failed: Arc<AtomicBool>,
    // The lock lasts until the last clone is dropped.
    _lock: Arc<File>,
}

impl DataFolder {
    /// Opens the folder of `replica_id`, and formats it when it is empty or does not exist.
    pub fn open(path: &Path, replica_id: u64) -> Result<Self, StorageError> {
        create_folder(path)?;
        let lock = lock_folder(path)?;
        let format_path = path.join(FORMAT_FILE);
        let (format, newly_formatted) = match read_if_present(&format_path)? {
            Some(content) => (Format::decode(&format_path, &content)?, false),
            None => {
                refuse_leftovers(path)?;
                (write_format(path, replica_id)?, true)
            }
        };
        if format.replica_id != replica_id {
            return OtherReplicaSnafu { path, found: format.replica_id, expected: replica_id }
                .fail();
        }
        Ok(Self {
            path: Arc::from(path),
            replica_id,
            incarnation: format.incarnation,
            newly_formatted,
            failed: Arc::new(AtomicBool::new(false)),
            _lock: Arc::new(lock),
        })
    }

    /// The replica that a folder belongs to; nothing when the folder is empty or does not exist.
    pub fn owner(path: &Path) -> Result<Option<u64>, StorageError> {
        let format_path = path.join(FORMAT_FILE);
        let content = read_if_present(&format_path)?;
        let format = content.map(|content| Format::decode(&format_path, &content)).transpose()?;
        Ok(format.map(|format| format.replica_id))
    }

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The replica that owns the folder.
    pub fn replica_id(&self) -> u64 {
        self.replica_id
    }

    /// The random number drawn when the folder was formatted.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether this call to [`DataFolder::open`] formatted the folder.
    pub fn newly_formatted(&self) -> bool {
        self.newly_formatted
    }

    /// Runs `work` unless an earlier one failed; a failure makes all later ones refused.
    pub(crate) fn guard<T>(
        &self,
        work: impl FnOnce() -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        if self.failed.load(Ordering::Acquire) {
            return RefusedSnafu { path: self.path.as_ref() }.fail();
        }
        let result = work();
        if result.is_err() {
            self.failed.store(true, Ordering::Release);
        }
        result
    }
}

fn create_folder(path: &Path) -> Result<(), StorageError> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path).map_err(|source| StorageError::from_io(path, source))?;
    let parent = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent.to_owned(),
        _ => PathBuf::from("."),
    };
    sync_folder(&parent)
}

fn lock_folder(path: &Path) -> Result<File, StorageError> {
    let lock_path = path.join(LOCK_FILE);
    let lock = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&lock_path)
        .map_err(|source| StorageError::from_io(&lock_path, source))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(TryLockError::Error(source)) => Err(StorageError::from_io(&lock_path, source)),
    }
}

/// A folder whose format file is missing must not start over with the files that are left.
fn refuse_leftovers(path: &Path) -> Result<(), StorageError> {
    for name in DATA_FILES {
        if path.join(name).exists() {
            let detail = "the format file is missing";
            return CorruptedSnafu { path, offset_bytes: 0u64, detail }.fail();
        }
    }
    Ok(())
}

fn write_format(path: &Path, replica_id: u64) -> Result<Format, StorageError> {
    let format = Format { version: FORMAT_VERSION, replica_id, incarnation: Incarnation::random() };
    replace_file(path, FORMAT_FILE, &[&format.encode()])?;
    Ok(format)
}
