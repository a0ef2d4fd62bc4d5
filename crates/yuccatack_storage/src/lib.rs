//! Durable storage of a replica in its data folder: log, snapshot and hard state, with checksums.
//!
//! [`DataFolder::open`] locks the folder and checks that it belongs to this replica.
//! [`Store::open`] then recovers what is on disk and syncs it. After a failed write or sync, all stores of the
//! folder refuse further operations, because the content of the page cache may differ from that of
//! the disk. A full disk is the exception: the operation is undone and can be tried again.

mod disk;
mod error;
mod file;
mod folder;
mod format;
mod hard_state;
mod log_entry;
mod log_store;
mod reserve;
mod snapshot;
mod store;

pub use disk::DiskSettings;
pub use error::StorageError;
pub use file::{DurableFile, FileSystem, LocalFileSystem};
pub use folder::DataFolder;
pub use format::FORMAT_VERSION;
pub use hard_state::{HardState, HardStateStore};
pub use log_entry::StoredEntry;
pub use log_store::{LogBase, LogStore, OpenedLog};
pub use snapshot::{Snapshot, SnapshotStore};
pub use store::{Recovered, Store};
