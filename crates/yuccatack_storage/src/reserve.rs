//! Space on the disk that is set aside for small writes on a full disk.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::error::StorageError;
use crate::file::{FileSystem, sync_folder};

const RESERVE_FILE: &str = "reserve";

/// Content of the file. It is not zero, so that a part that a power loss left unwritten differs.
const FILL_BYTE: u8 = 0xff;

/// Size of one write of the fill.
const CHUNK_BYTES: usize = 256 * 1024;

/// File that holds space until a write finds the disk full. Votes and the first entry of a leader
/// then still fit, without which no replica could lead and free space.
#[derive(Debug)]
pub(crate) struct Reserve {
    file_system: Arc<dyn FileSystem>,
    folder: PathBuf,
    path: PathBuf,
    size_bytes: u64,
    whole: AtomicBool,
}

impl Reserve {
    /// Checks the file in `folder`, but does not write it. A `size_bytes` of 0 means no reserve.
    pub fn open(
        file_system: Arc<dyn FileSystem>,
        folder: &Path,
        size_bytes: u64,
    ) -> Result<Self, StorageError> {
        let path = folder.join(RESERVE_FILE);
        let whole = size_bytes == 0 || is_filled(&path, size_bytes)?;
        let whole = AtomicBool::new(whole);
        Ok(Self { file_system, folder: folder.to_owned(), path, size_bytes, whole })
    }

    /// Returns `true` if the space is set aside.
    pub fn is_whole(&self) -> bool {
        self.whole.load(Ordering::Acquire)
    }

    /// Frees the space; returns `false` if there was none.
    pub fn release(&self) -> Result<bool, StorageError> {
        if self.size_bytes == 0 {
            return Ok(false);
        }
        self.whole.store(false, Ordering::Release);
        let length_bytes = fs::metadata(&self.path).map_or(0, |metadata| metadata.len());
        if length_bytes == 0 {
            return Ok(false);
        }
        self.empty()?;
        Ok(true)
    }

    /// Sets the space aside again; returns `false`, and leaves the file empty, if the disk has too
    /// little.
    pub fn refill(&self) -> Result<bool, StorageError> {
        if self.is_whole() {
            return Ok(true);
        }
        match self.fill() {
            Ok(()) => {
                self.whole.store(true, Ordering::Release);
                Ok(true)
            }
            Err(StorageError::DiskFull { .. }) => {
                if self.path.exists() {
                    self.empty()?;
                }
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    fn fill(&self) -> Result<(), StorageError> {
        let io_error = |source| StorageError::from_io(&self.path, source);
        let mut file = self.file_system.create(&self.path).map_err(io_error)?;
        let chunk = vec![FILL_BYTE; CHUNK_BYTES];
        let mut missing_bytes = self.size_bytes;
        while missing_bytes > 0 {
            let length = missing_bytes.min(CHUNK_BYTES as u64);
            file.append(&chunk[..length as usize]).map_err(io_error)?;
            missing_bytes -= length;
        }
        file.sync().map_err(|source| StorageError::from_sync(&self.path, source))?;
        sync_folder(&self.folder)
    }

    fn empty(&self) -> Result<(), StorageError> {
        let io_error = |source| StorageError::from_io(&self.path, source);
        let mut file = self.file_system.open_for_append(&self.path).map_err(io_error)?;
        file.truncate(0).map_err(io_error)?;
        // Some file systems make the space available only when the new length is on disk.
        file.sync().map_err(|source| StorageError::from_sync(&self.path, source))
    }
}

/// Returns `true` if the file at `path` has the size and the content of a filled reserve.
fn is_filled(path: &Path, size_bytes: u64) -> Result<bool, StorageError> {
    let io_error = |source| StorageError::from_io(path, source);
    let mut file = match fs::File::open(path) {
        Ok(file) => file,
        Err(source) if source.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(source) => return Err(io_error(source)),
    };
    if file.metadata().map_err(io_error)?.len() != size_bytes {
        return Ok(false);
    }
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = file.read(&mut chunk).map_err(io_error)?;
        if length == 0 {
            return Ok(true);
        }
        if chunk[..length].iter().any(|byte| *byte != FILL_BYTE) {
            return Ok(false);
        }
    }
}
