//! Durable append, atomic replacement and reading of files.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::StorageError;

/// A file that is extended at its end, and cut off after an unfinished write.
pub trait DurableFile: Send {
    /// Appends all of `bytes`; they are durable only after [`DurableFile::sync`].
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Blocks until all appended bytes are on disk.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file off after `length_bytes`; later bytes are appended there.
    fn truncate(&mut self, length_bytes: u64) -> io::Result<()>;
}

/// Opens the files that are written in a data folder, at the process boundary; a trait, so that
/// tests can inject disks that are full, slow or faulty.
pub trait FileSystem: fmt::Debug + Send + Sync {
    /// Creates the file at `path`, or empties it if it exists.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DurableFile>>;

    /// Opens the existing file at `path` for appending.
    fn open_for_append(&self, path: &Path) -> io::Result<Box<dyn DurableFile>>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalFileSystem;

impl FileSystem for LocalFileSystem {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        Ok(Box::new(File::create(path)?))
    }

    fn open_for_append(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        Ok(Box::new(OpenOptions::new().append(true).open(path)?))
    }
}

impl DurableFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length_bytes: u64) -> io::Result<()> {
        self.set_len(length_bytes)
    }
}

/// Syncs the directory entries of `folder`, which makes created and renamed files durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).map_err(|source| StorageError::from_io(folder, source))?;
    opened.sync_all().map_err(|source| StorageError::from_sync(folder, source))
}

/// Returns the path at which the new content of `folder/name` is written before it is renamed.
pub(crate) fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.new"))
}

/// Replaces `folder/name` atomically: after a crash the file has either the old or the new content.
pub(crate) fn replace_file(
    file_system: &dyn FileSystem,
    folder: &Path,
    name: &str,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    TemporaryFile::write(file_system, folder, name, parts)?.replace(folder, name)
}

/// Replaces `folder/name` as [`replace_file`] does, and returns it open for appending.
///
/// The file is opened before the rename, so that after an error the old one is still in place.
pub(crate) fn replace_and_open(
    file_system: &dyn FileSystem,
    folder: &Path,
    name: &str,
    parts: &[&[u8]],
) -> Result<Box<dyn DurableFile>, StorageError> {
    let temporary = TemporaryFile::write(file_system, folder, name, parts)?;
    let opened = file_system
        .open_for_append(&temporary.path)
        .map_err(|source| StorageError::from_io(&temporary.path, source))?;
    temporary.replace(folder, name)?;
    Ok(opened)
}

/// File that is removed when it is dropped, so that a failed replacement takes no space.
struct TemporaryFile {
    path: PathBuf,
}

impl TemporaryFile {
    fn write(
        file_system: &dyn FileSystem,
        folder: &Path,
        name: &str,
        parts: &[&[u8]],
    ) -> Result<Self, StorageError> {
        let temporary = Self { path: temporary_path(folder, name) };
        let io_error = |source| StorageError::from_io(&temporary.path, source);
        let mut file = file_system.create(&temporary.path).map_err(io_error)?;
        for part in parts {
            file.append(part).map_err(io_error)?;
        }
        file.sync().map_err(|source| StorageError::from_sync(&temporary.path, source))?;
        Ok(temporary)
    }

    fn replace(self, folder: &Path, name: &str) -> Result<(), StorageError> {
        let path = folder.join(name);
        fs::rename(&self.path, &path).map_err(|source| StorageError::from_io(&path, source))?;
        sync_folder(folder).map_err(|error| match error {
            // The rename cannot be undone, so the operation cannot be tried again as after a full
            // disk.
            StorageError::DiskFull { path, source } => StorageError::SyncFailed { path, source },
            error => error,
        })
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        // Fails after the rename. A file that stays is removed when the folder is opened again.
        let _ = fs::remove_file(&self.path);
    }
}

/// Reads the file at `path`, or returns `None` if it does not exist.
pub(crate) fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(content) => Ok(Some(content)),
        Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StorageError::from_io(path, source)),
    }
}
