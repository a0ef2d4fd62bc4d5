//! Durable append, atomic replacement and reading of files.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::StorageError;

/// An append-only file at the process boundary; a trait, so that tests can inject write and sync
/// failures.
pub trait DurableFile: Send {
    /// Appends all of `bytes`; they are durable only after [`DurableFile::sync`].
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Blocks until all appended bytes are on disk.
    fn sync(&mut self) -> io::Result<()>;
}

impl DurableFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Syncs the directory entries of `folder`, which makes created and renamed files durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).map_err(|source| StorageError::from_io(folder, source))?;
    opened.sync_all().map_err(|source| StorageError::from_sync(folder, source))
}

/// Replaces `folder/name` atomically: after a crash the file has either the old or the new content.
pub(crate) fn replace_file(
    folder: &Path,
    name: &str,
    parts: &[&[u8]],
) -> Result<PathBuf, StorageError> {
    let temporary = folder.join(format!("{name}.new"));
    let path = folder.join(name);
    let mut file =
        File::create(&temporary).map_err(|source| StorageError::from_io(&temporary, source))?;
    for part in parts {
        file.write_all(part).map_err(|source| StorageError::from_io(&temporary, source))?;
    }
    file.sync_all().map_err(|source| StorageError::from_sync(&temporary, source))?;
    fs::rename(&temporary, &path).map_err(|source| StorageError::from_io(&path, source))?;
    sync_folder(folder)?;
    Ok(path)
}

/// Reads the file at `path`, or returns `None` if it does not exist.
pub(crate) fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(content) => Ok(Some(content)),
        Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StorageError::from_io(path, source)),
    }
}

/// Opens the existing file at `path` for appending.
pub(crate) fn open_for_append(path: &Path) -> Result<File, StorageError> {
    OpenOptions::new().append(true).open(path).map_err(|source| StorageError::from_io(path, source))
}
