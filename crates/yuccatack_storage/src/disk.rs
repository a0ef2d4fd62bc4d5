//! Disk that holds a data folder.

use std::sync::Arc;

use crate::file::{FileSystem, LocalFileSystem};

/// Part of the disk that is set aside for small writes on a full disk.
const RESERVE_DIVISOR: u64 = 64;

/// Maximum size of the reserve; it has room for many votes and entries.
const RESERVE_LIMIT_BYTES: u64 = 4_000_000;

/// Size of the disk that a data folder may use, and the file system through which it is written.
#[derive(Clone, Debug)]
pub struct DiskSettings {
    /// Size of the disk, or the part of it that the data folder may use.
    pub capacity_bytes: u64,
    /// File system that creates and opens the files.
    pub file_system: Arc<dyn FileSystem>,
}

impl DiskSettings {
    /// Creates settings for a disk of `capacity_bytes` on the file system of the operating system.
    pub fn new(capacity_bytes: u64) -> Self {
        Self { capacity_bytes, file_system: Arc::new(LocalFileSystem) }
    }

    /// Returns the size of the reserve, the space that is set aside for small writes on a full disk.
    pub fn reserve_bytes(&self) -> u64 {
        (self.capacity_bytes / RESERVE_DIVISOR).min(RESERVE_LIMIT_BYTES)
    }

    /// Replaces the file system.
    #[must_use]
    pub fn with_file_system(mut self, file_system: Arc<dyn FileSystem>) -> Self {
        self.file_system = file_system;
        self
    }
}
