//! Guards against a process that ends again and again while its disk is full, and against one that
//! goes on after a failure that leaves the files in doubt.

#![allow(clippy::unwrap_used, missing_docs)]

use std::io;
use std::path::PathBuf;

use yuccatack_queue_control::ControlError;
use yuccatack_replication::{ReplicaFailure, StartError};
use yuccatack_storage::StorageError;

fn full() -> StorageError {
    let source = io::Error::from(io::ErrorKind::StorageFull);
    StorageError::DiskFull { path: PathBuf::from("log"), source }
}

fn sync_failed() -> StorageError {
    StorageError::SyncFailed { path: PathBuf::from("log"), source: io::Error::other("sync") }
}

#[test]
fn full_disk_waited_for() {
    let detail = "full".to_owned();
    let running = ControlError::from_failure(Some(ReplicaFailure::DiskFull { detail }));
    assert!(running.is_disk_full());
    assert!(ControlError::Folder { source: full() }.is_disk_full());
    let source = StartError::Storage { source: full() };
    assert!(ControlError::Replication { source }.is_disk_full());
}

#[test]
fn other_failures_end() {
    let detail = "sync".to_owned();
    let failure = ReplicaFailure::Storage { detail };
    assert!(!ControlError::from_failure(Some(failure)).is_disk_full());
    assert!(!ControlError::from_failure(None).is_disk_full());
    let source = StartError::Storage { source: sync_failed() };
    assert!(!ControlError::Replication { source }.is_disk_full());
}
