//! Disk that can be small, full, slow, unresponsive or faulty.
//!
//! Files are real ones, so that their content survives a restart of the replica that writes them.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use yuccatack_storage::{DurableFile, FileSystem, LocalFileSystem};

/// Interval at which a write to an unresponsive disk checks whether the disk responds again.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Disk under the control of a test; clones share their state.
#[derive(Clone, Debug)]
pub struct DiskStandIn {
    state: Arc<DiskState>,
}

#[derive(Debug)]
struct DiskState {
    capacity_bytes: AtomicU64,
    write_delay_ms: AtomicU64,
    created_at: Instant,
    /// Time since `created_at` until which the disk does not respond.
    hangs_until_ms: AtomicU64,
    refuses_writes: AtomicBool,
}

impl DiskStandIn {
    /// Creates a disk on which the files of a folder take at most `capacity_bytes` together.
    pub fn new(capacity_bytes: u64) -> Self {
        let state = DiskState {
            capacity_bytes: AtomicU64::new(capacity_bytes),
            write_delay_ms: AtomicU64::new(0),
            created_at: Instant::now(),
            hangs_until_ms: AtomicU64::new(0),
            refuses_writes: AtomicBool::new(false),
        };
        Self { state: Arc::new(state) }
    }

    /// Changes the capacity. At 0 the disk takes no more bytes, but files can still be shortened.
    pub fn set_capacity(&self, capacity_bytes: u64) {
        self.state.capacity_bytes.store(capacity_bytes, Ordering::Release);
    }

    /// Sets the time that each write and each sync takes.
    pub fn set_write_delay(&self, delay: Duration) {
        self.state.write_delay_ms.store(whole_ms(delay), Ordering::Release);
    }

    /// Lets all writes and syncs wait until `duration` has passed. It is limited, since a thread that
    /// waits for the disk cannot be stopped.
    pub fn hang_for(&self, duration: Duration) {
        let until_ms = self.state.elapsed_ms().saturating_add(whole_ms(duration));
        self.state.hangs_until_ms.store(until_ms, Ordering::Release);
    }
    /// Lets all writes and syncs fail with an I/O error.
    pub fn set_refusing(&self, refuses_writes: bool) {
        self.state.refuses_writes.store(refuses_writes, Ordering::Release);
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl DiskState {
    fn elapsed_ms(&self) -> u64 {
        whole_ms(self.created_at.elapsed())
    }

    fn wait(&self) -> io::Result<()> {
        while self.elapsed_ms() < self.hangs_until_ms.load(Ordering::Acquire) {
            thread::sleep(HANG_CHECK_INTERVAL);
        }
        let delay_ms = self.write_delay_ms.load(Ordering::Acquire);
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        if self.refuses_writes.load(Ordering::Acquire) {
            return Err(io::Error::other("the disk refuses the write"));
        }
        Ok(())
    }

    /// Returns the number of bytes that still fit on the disk that holds `path`.
    fn free_bytes(&self, path: &Path) -> io::Result<u64> {
        let mut used_bytes = 0;
        for entry in path.parent().unwrap_or(path).read_dir()? {
            // Another thread may have removed the file since it was listed.
            used_bytes += entry?.metadata().map_or(0, |metadata| metadata.len());
        }
        Ok(self.capacity_bytes.load(Ordering::Acquire).saturating_sub(used_bytes))
    }
}

impl FileSystem for DiskStandIn {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        let file = LocalFileSystem.create(path)?;
        Ok(Box::new(FileStandIn { state: Arc::clone(&self.state), path: path.to_owned(), file }))
    }

    fn open_for_append(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        let file = LocalFileSystem.open_for_append(path)?;
        Ok(Box::new(FileStandIn { state: Arc::clone(&self.state), path: path.to_owned(), file }))
    }
}

struct FileStandIn {
    state: Arc<DiskState>,
    path: PathBuf,
    file: Box<dyn DurableFile>,
}

impl DurableFile for FileStandIn {
    /// Writes the part of `bytes` that fits, as a file system does, and fails if that is not all.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.state.wait()?;
        let free_bytes = self.state.free_bytes(&self.path)?;
        let fitting = usize::try_from(free_bytes).unwrap_or(usize::MAX).min(bytes.len());
        self.file.append(&bytes[..fitting])?;
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.state.wait()?;
        self.file.sync()
    }

    fn truncate(&mut self, length_bytes: u64) -> io::Result<()> {
        self.state.wait()?;
        self.file.truncate(length_bytes)
    }
}
