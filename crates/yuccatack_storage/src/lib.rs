//! The data folder: log file, snapshot file, checksums and sync.
//!
//! [`DataFolder::open`] locks the folder and checks whose it is. [`Store::open`] then reads back
//! what was synced. After a failed write or sync every store of the folder refuses further work,
//! because the page cache is no longer evidence of what is on disk.

mod error;
mod file;
mod folder;
mod format;
mod hard_state;
mod log_entry;
mod log_store;
mod snapshot;
mod store;

pub use error::StorageError;
pub use file::DurableFile;
pub use folder::DataFolder;
pub use format::FORMAT_VERSION;
pub use hard_state::{HardState, HardStateStore};
pub use log_entry::StoredEntry;
pub use log_store::{LogBase, LogStore, OpenedLog};
pub use snapshot::{Snapshot, SnapshotStore};
pub use store::{Recovered, Store};
