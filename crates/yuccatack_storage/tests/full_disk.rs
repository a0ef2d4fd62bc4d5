//! Stores on a disk that is full for a while.
#![allow(clippy::unwrap_used, missing_docs)]

use std::fs;
use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use yuccatack_stand_ins::DiskStandIn;
use yuccatack_storage::{
    DataFolder, HardState, LogBase, Snapshot, StorageError, Store, StoredEntry,
};

const LARGE_DISK_BYTES: u64 = 1 << 30;

fn entry(index: u64) -> StoredEntry {
    StoredEntry { term: 1, index, payload: Bytes::from(vec![index as u8; 1_000]) }
}

fn open(disk: &DiskStandIn, path: &Path) -> (DataFolder, Store, Vec<StoredEntry>) {
    let folder = DataFolder::open_on(Arc::new(disk.clone()), path, 1).unwrap();
    let (store, recovered) = Store::open(&folder).unwrap();
    (folder, store, recovered.entries)
}

fn snapshot(index: u64) -> Snapshot {
    let payload = Bytes::from(vec![7; 5_000]);
    Snapshot { index, term: 1, metadata: Bytes::new(), payload }
}

fn temporary_files(path: &Path) -> Vec<String> {
    let names = path.read_dir().unwrap();
    let names = names.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.ends_with(".new")).collect()
}

fn is_disk_full<Value>(result: &Result<Value, StorageError>) -> bool {
    matches!(result, Err(StorageError::DiskFull { .. }))
}

/// Guards against a write that a full disk cut short and that stays in a file, so that the same write
/// fails or damages the file once there is space.
#[test]
fn writes_resume() {
    let path = tempfile::tempdir().unwrap();
    let disk = DiskStandIn::new(LARGE_DISK_BYTES);
    let (folder, mut store, _) = open(&disk, path.path());
    store.hard_state.save(HardState { term: 1, voted_for: 1, cluster: 9 }).unwrap();
    store.log.append(&[entry(1), entry(2)]).unwrap();

    disk.set_capacity(0);
    assert!(is_disk_full(&store.log.append(&[entry(3)])));
    assert!(is_disk_full(&store.log.rewrite(LogBase { index: 1, term: 1 }, &[entry(2)])));
    assert!(is_disk_full(&store.snapshots.save(&snapshot(1))));
    let state = HardState { term: 2, voted_for: 1, cluster: 9 };
    assert!(is_disk_full(&store.hard_state.save(state)));
    assert_eq!(temporary_files(path.path()), Vec::<String>::new());

    disk.set_capacity(LARGE_DISK_BYTES);
    store.log.append(&[entry(3), entry(4)]).unwrap();
    store.hard_state.save(state).unwrap();
    store.snapshots.save(&snapshot(1)).unwrap();
    store.log.rewrite(LogBase { index: 1, term: 1 }, &[entry(2), entry(3), entry(4)]).unwrap();
    store.log.append(&[entry(5)]).unwrap();
    drop((store, folder));
    let (_, _, entries) = open(&disk, path.path());
    assert_eq!(entries, [entry(2), entry(3), entry(4), entry(5)]);
}

/// Guards against half-written files that a stopped process left behind and that take space for
/// good.
#[test]
fn leftovers_removed() {
    let path = tempfile::tempdir().unwrap();
    let disk = DiskStandIn::new(LARGE_DISK_BYTES);
    drop(open(&disk, path.path()));
    for name in ["log.new", "snapshot.new", "hard_state.new", "format.new"] {
        fs::write(path.path().join(name), [0; 1_000]).unwrap();
    }
    drop(open(&disk, path.path()));
    assert_eq!(temporary_files(path.path()), Vec::<String>::new());
}
