//! Guards against a process that exits and restarts repeatedly while its disk is full, and against
//! one that continues after a failure that may have left its files inconsistent.

#![allow(clippy::unwrap_used, missing_docs)]

use std::io;
use std::path::PathBuf;

use yuccatack_queue_control::ControlError;
use yuccatack_replication::{ReplicaFailure, StartError};
use yuccatack_storage::StorageError;

fn disk_full() -> StorageError {
    let source = io::Error::from(io::ErrorKind::StorageFull);
    StorageError::DiskFull { path: PathBuf::from("log"), source }
}

fn sync_failure() -> StorageError {
    StorageError::SyncFailed { path: PathBuf::from("log"), source: io::Error::other("sync") }
}

#[test]
fn full_disk_retried() {
    let detail = "full".to_owned();
    let log_failure = ControlError::from_failure(Some(ReplicaFailure::DiskFull { detail }));
    assert!(log_failure.is_disk_full());
    assert!(ControlError::Folder { source: disk_full() }.is_disk_full());
    let source = StartError::Storage { source: disk_full() };
    assert!(ControlError::Replication { source }.is_disk_full());
}

#[test]
fn other_failures_fatal() {
    let detail = "sync".to_owned();
    let failure = ReplicaFailure::Storage { detail };
    assert!(!ControlError::from_failure(Some(failure)).is_disk_full());
    assert!(!ControlError::from_failure(None).is_disk_full());
    let source = StartError::Storage { source: sync_failure() };
    assert!(!ControlError::Replication { source }.is_disk_full());
}
