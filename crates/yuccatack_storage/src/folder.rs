//! Data folder of a replica: lock, owner, incarnation and failure state.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use yuccatack_core::Incarnation;

use crate::disk::DiskSettings;
use crate::error::{CorruptedSnafu, LockedSnafu, OtherReplicaSnafu, RefusedSnafu, StorageError};
use crate::file::{
    FileSystem, LocalFileSystem, read_if_present, replace_file, sync_folder, temporary_path,
};
use crate::format::{FORMAT_FILE, FORMAT_VERSION, Format};
use crate::hard_state::HARD_STATE_FILE;
use crate::log_store::LOG_FILE;
use crate::reserve::Reserve;
use crate::snapshot::SNAPSHOT_FILE;

const LOCK_FILE: &str = "lock";

/// Files that exist only in a formatted folder.
const DATA_FILES: [&str; 3] = [LOG_FILE, HARD_STATE_FILE, SNAPSHOT_FILE];

/// The locked data folder of a replica.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: Arc<Path>,
    replica_id: u64,
    incarnation: Incarnation,
    newly_formatted: bool,
    file_system: Arc<dyn FileSystem>,
    reserve: Arc<Reserve>,
    failed: Arc<AtomicBool>,
    // The lock is released when the last clone is dropped.
    _lock: Arc<File>,
}

impl DataFolder {
    /// Locks and opens the folder of `replica_id`; creates and formats it if it is empty or
    /// missing.
    pub fn open(path: &Path, replica_id: u64) -> Result<Self, StorageError> {
        Self::open_on(Arc::new(LocalFileSystem), path, replica_id)
    }

    /// Opens the folder as [`DataFolder::open`] does, and writes its files through `file_system`.
    pub fn open_on(
        file_system: Arc<dyn FileSystem>,
        path: &Path,
        replica_id: u64,
    ) -> Result<Self, StorageError> {
        Self::open_with_reserve(file_system, path, replica_id, 0)
    }

    /// Opens the folder as [`DataFolder::open`] does, on `disk`, and sets the disk's reserve aside
    /// if there is space for it.
    ///
    /// The reserve is released when an operation finds the disk full, and the operation is tried
    /// once more. [`DataFolder::refill_reserve`] sets it aside again.
    pub fn open_on_disk(
        disk: &DiskSettings,
        path: &Path,
        replica_id: u64,
    ) -> Result<Self, StorageError> {
        let file_system = Arc::clone(&disk.file_system);
        let folder = Self::open_with_reserve(file_system, path, replica_id, disk.reserve_bytes())?;
        folder.refill_reserve()?;
        Ok(folder)
    }

    fn open_with_reserve(
        file_system: Arc<dyn FileSystem>,
        path: &Path,
        replica_id: u64,
        reserve_bytes: u64,
    ) -> Result<Self, StorageError> {
        create_folder(path)?;
        let lock = lock_folder(path)?;
        remove_temporary_files(path)?;
        let reserve = Reserve::open(Arc::clone(&file_system), path, reserve_bytes)?;
        let format_path = path.join(FORMAT_FILE);
        let (format, newly_formatted) = match read_if_present(&format_path)? {
            Some(content) => (Format::decode(&format_path, &content)?, false),
            None => {
                refuse_unformatted_data(path)?;
                let write = || write_format(file_system.as_ref(), path, replica_id);
                (run_with_reserve(&reserve, write)?, true)
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
            file_system,
            reserve: Arc::new(reserve),
            failed: Arc::new(AtomicBool::new(false)),
            _lock: Arc::new(lock),
        })
    }

    /// Returns the replica that a folder belongs to, or `None` if it is not formatted or missing.
    ///
    /// Takes no lock, so it also works while another process uses the folder.
    pub fn owner(path: &Path) -> Result<Option<u64>, StorageError> {
        let format_path = path.join(FORMAT_FILE);
        let content = read_if_present(&format_path)?;
        let format = content.map(|content| Format::decode(&format_path, &content)).transpose()?;
        Ok(format.map(|format| format.replica_id))
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the identifier of the replica that owns the folder.
    pub fn replica_id(&self) -> u64 {
        self.replica_id
    }

    /// Returns the incarnation, which is drawn at random when the folder is formatted.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns `true` if the call of [`DataFolder::open`] that returned this value formatted the
    /// folder.
    pub fn newly_formatted(&self) -> bool {
        self.newly_formatted
    }

    /// Returns `true` if the reserve is set aside, or the folder was opened without one.
    pub fn reserve_is_whole(&self) -> bool {
        self.reserve.is_whole()
    }

    /// Sets the reserve aside again after an operation released it; returns `false`, and leaves all
    /// space free, if the disk has too little.
    pub fn refill_reserve(&self) -> Result<bool, StorageError> {
        self.refuse_if_failed()?;
        self.remember_failure(self.reserve.refill())
    }

    /// Syncs all data files and the names in the folder.
    pub(crate) fn sync_files(&self) -> Result<(), StorageError> {
        self.run_unless_failed(|| {
            for path in DATA_FILES.map(|name| self.path.join(name)) {
                if path.exists() {
                    let opened = self.file_system.open_for_append(&path);
                    let mut file = opened.map_err(|source| StorageError::from_io(&path, source))?;
                    file.sync().map_err(|source| StorageError::from_sync(&path, source))?;
                }
            }
            sync_folder(&self.path)
        })
    }

    /// Returns the file system on which the folder's files are written.
    pub(crate) fn file_system(&self) -> &dyn FileSystem {
        self.file_system.as_ref()
    }

    /// Runs `operation`, unless an earlier one failed; after a failure all later ones are refused.
    ///
    /// If the disk is full, the reserve is released and `operation` is run once more. It must leave
    /// the stores unchanged when it returns [`StorageError::DiskFull`], because later operations
    /// are not refused after this error.
    pub(crate) fn run_unless_failed<Output, Operation>(
        &self,
        operation: Operation,
    ) -> Result<Output, StorageError>
    where
        Operation: FnMut() -> Result<Output, StorageError>,
    {
        self.refuse_if_failed()?;
        self.remember_failure(run_with_reserve(&self.reserve, operation))
    }

    fn refuse_if_failed(&self) -> Result<(), StorageError> {
        if self.failed.load(Ordering::Acquire) {
            return RefusedSnafu { path: self.path.as_ref() }.fail();
        }
        Ok(())
    }

    fn remember_failure<Output>(
        &self,
        result: Result<Output, StorageError>,
    ) -> Result<Output, StorageError> {
        match &result {
            Ok(_) | Err(StorageError::DiskFull { .. }) => {}
            Err(_) => self.failed.store(true, Ordering::Release),
        }
        result
    }
}

/// Runs `operation`, and once more with the space of `reserve` if the disk is full.
fn run_with_reserve<Output, Operation>(
    reserve: &Reserve,
    mut operation: Operation,
) -> Result<Output, StorageError>
where
    Operation: FnMut() -> Result<Output, StorageError>,
{
    match operation() {
        Err(error @ StorageError::DiskFull { .. }) => {
            if reserve.release()? {
                operation()
            } else {
                Err(error)
            }
        }
        result => result,
    }
}

/// Removes what a process that stopped during a replacement left behind, which would take space
/// until the same file is replaced again.
fn remove_temporary_files(path: &Path) -> Result<(), StorageError> {
    for name in DATA_FILES.iter().chain(&[FORMAT_FILE]) {
        let temporary = temporary_path(path, name);
        match fs::remove_file(&temporary) {
            Ok(()) => {}
            Err(source) if source.kind() == io::ErrorKind::NotFound => {}
            Err(source) => return Err(StorageError::from_io(&temporary, source)),
        }
    }
    Ok(())
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

/// Returns an error if a folder without a format file contains data files.
///
/// Such a folder lost its format file. Formatting it again would start a new incarnation with old
/// data, possibly that of another replica.
fn refuse_unformatted_data(path: &Path) -> Result<(), StorageError> {
    for name in DATA_FILES {
        if path.join(name).exists() {
            let detail = "the format file is missing";
            return CorruptedSnafu { path, offset_bytes: 0u64, detail }.fail();
        }
    }
    Ok(())
}

fn write_format(
    file_system: &dyn FileSystem,
    path: &Path,
    replica_id: u64,
) -> Result<Format, StorageError> {
    let format = Format { version: FORMAT_VERSION, replica_id, incarnation: Incarnation::random() };
    replace_file(file_system, path, FORMAT_FILE, &[&format.encode()])?;
    Ok(format)
}
