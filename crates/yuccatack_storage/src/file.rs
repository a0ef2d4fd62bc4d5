//! Durable append, atomic replacement and reading of files.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::StorageError;

/// A file that is written from its start to its end.
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

/// Replaces `folder/name` atomically: after a crash the file has either the old or the new content.
pub(crate) fn replace_file(
    file_system: &dyn FileSystem,
    folder: &Path,
    name: &str,
    parts: &[&[u8]],
) -> Result<PathBuf, StorageError> {
    let temporary = folder.join(format!("{name}.new"));
    let path = folder.join(name);
    let mut file = file_system
        .create(&temporary)
        .map_err(|source| StorageError::from_io(&temporary, source))?;
    for part in parts {
        file.append(part).map_err(|source| StorageError::from_io(&temporary, source))?;
    }
    file.sync().map_err(|source| StorageError::from_sync(&temporary, source))?;
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
