//! Reserve of a data folder, which keeps small writes possible on a full disk.
#![allow(clippy::unwrap_used, missing_docs)]

use std::fs;
use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use yuccatack_stand_ins::DiskStandIn;
use yuccatack_storage::{
    DataFolder, DiskSettings, HardState, LogBase, Recovered, Snapshot, StorageError, Store,
    StoredEntry,
};

const DISK_BYTES: u64 = 1 << 20;
/// Size of the reserve on a disk of `DISK_BYTES`.
const RESERVE_BYTES: u64 = 1 << 14;
const VOTE: HardState = HardState { term: 2, voted_for: 3, cluster: 9 };

fn settings(disk: &DiskStandIn) -> DiskSettings {
    DiskSettings::new(DISK_BYTES).with_file_system(Arc::new(disk.clone()))
}

fn open(disk: &DiskStandIn, path: &Path) -> (DataFolder, Store, Recovered) {
    let folder = DataFolder::open_on_disk(&settings(disk), path, 1).unwrap();
    let (store, recovered) = Store::open(&folder).unwrap();
    (folder, store, recovered)
}

/// Creates a folder with three entries, and fills the disk up with another file.
fn fill_disk(disk: &DiskStandIn, path: &Path) -> (DataFolder, Store) {
    let (folder, mut store, _) = open(disk, path);
    store.hard_state.save(HardState { term: 1, voted_for: 1, cluster: 9 }).unwrap();
    store.log.append(&[entry(1), entry(2), entry(3)]).unwrap();
    assert_eq!(reserve_length(path), RESERVE_BYTES);
    let free_bytes = DISK_BYTES - used_bytes(path);
    fs::write(path.join("other"), vec![1; free_bytes as usize]).unwrap();
    (folder, store)
}

fn used_bytes(path: &Path) -> u64 {
    path.read_dir().unwrap().map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
}

fn reserve_length(path: &Path) -> u64 {
    fs::metadata(path.join("reserve")).unwrap().len()
}

fn entry(index: u64) -> StoredEntry {
    StoredEntry { term: 1, index, payload: Bytes::from(vec![index as u8; 1_000]) }
}

fn last_index(recovered: &Recovered) -> u64 {
    recovered.entries.last().unwrap().index
}

/// Guards against a full disk on which no replica can store a vote, and no leader its first entry,
/// so that the deployment stays without a leader and frees nothing.
#[test]
fn small_writes() {
    let path = tempfile::tempdir().unwrap();
    let disk = DiskStandIn::new(DISK_BYTES);
    let (folder, mut store) = fill_disk(&disk, path.path());
    store.hard_state.save(VOTE).unwrap();
    assert!(!folder.reserve_is_whole());
    assert_eq!(reserve_length(path.path()), 0);
    store.log.append(&[entry(4)]).unwrap();
    // What does not fit into the reserve is refused, and takes nothing from it.
    let large = StoredEntry { term: 1, index: 5, payload: Bytes::from(vec![0; 20_000]) };
    let error = store.log.append(&[large]).unwrap_err();
    assert!(matches!(error, StorageError::DiskFull { .. }), "{error:?}");
    store.log.append(&[entry(5)]).unwrap();
    drop((store, folder));
    let (_folder, _store, recovered) = open(&disk, path.path());
    assert_eq!(recovered.hard_state, VOTE);
    assert_eq!(recovered.entries, (1..=5).map(entry).collect::<Vec<_>>());
}

/// Guards against a reserve that is used once and never set aside again, and against a refill that
/// keeps the last bytes of a full disk from the stores.
#[test]
fn refill() {
    let path = tempfile::tempdir().unwrap();
    let disk = DiskStandIn::new(DISK_BYTES);
    let (folder, mut store) = fill_disk(&disk, path.path());
    store.hard_state.save(VOTE).unwrap();
    store.log.append(&[entry(4)]).unwrap();
    for _ in 0..3 {
        assert!(!folder.refill_reserve().unwrap());
        assert!(!folder.reserve_is_whole());
        assert_eq!(reserve_length(path.path()), 0);
    }
    store.log.append(&[entry(5)]).unwrap();

    fs::remove_file(path.path().join("other")).unwrap();
    assert!(folder.refill_reserve().unwrap());
    assert!(folder.reserve_is_whole());
    assert_eq!(reserve_length(path.path()), RESERVE_BYTES);
    // Holes would take no space on the disk.
    let content = fs::read(path.path().join("reserve")).unwrap();
    assert!(content.iter().all(|byte| *byte != 0));

    let free_bytes = DISK_BYTES - used_bytes(path.path());
    fs::write(path.path().join("other"), vec![1; free_bytes as usize]).unwrap();
    store.log.append(&[entry(6)]).unwrap();
    assert!(!folder.reserve_is_whole());
    drop((store, folder));
    let (_folder, _store, recovered) = open(&disk, path.path());
    assert_eq!(last_index(&recovered), 6);
}

/// Guards against a replica that cannot start on a full disk: with or without a reserve, after an
/// unfinished write, and with a log that a saved snapshot replaces.
#[test]
fn open_on_full_disk() {
    let cases: [(&str, bool, bool); 4] = [
        ("whole reserve", true, false),
        ("no reserve", false, false),
        ("whole reserve, unfinished write", true, true),
        ("no reserve, unfinished write", false, true),
    ];
    for (name, keeps_reserve, unfinished_write) in cases {
        let path = tempfile::tempdir().unwrap();
        let disk = DiskStandIn::new(DISK_BYTES);
        drop(fill_disk(&disk, path.path()));
        let log_path = path.path().join("log");
        if unfinished_write {
            let mut content = fs::read(&log_path).unwrap();
            content.extend_from_slice(&[0xa5; 434]);
            fs::write(&log_path, content).unwrap();
        }
        if !keeps_reserve {
            fs::write(path.path().join("reserve"), []).unwrap();
        }
        disk.set_capacity(0);
        let (folder, mut store, recovered) = open(&disk, path.path());
        assert_eq!(last_index(&recovered), 3, "{name}");
        assert_eq!(folder.reserve_is_whole(), keeps_reserve, "{name}");
        disk.set_capacity(2 * DISK_BYTES);
        store.log.append(&[entry(4)]).unwrap();
        store.hard_state.save(VOTE).unwrap();
        drop((store, folder));
        let (_folder, _store, recovered) = open(&disk, path.path());
        assert_eq!(recovered.entries, (1..=4).map(entry).collect::<Vec<_>>(), "{name}");
        assert_eq!(recovered.hard_state, VOTE, "{name}");
    }
}

/// Guards against a replica that stopped after it saved a received snapshot and that cannot replace
/// its log on a full disk when it starts again.
#[test]
fn log_replaced_on_open() {
    let path = tempfile::tempdir().unwrap();
    let disk = DiskStandIn::new(DISK_BYTES);
    let (folder, mut store, _) = open(&disk, path.path());
    store.hard_state.save(VOTE).unwrap();
    let payload = Bytes::from_static(b"state");
    let snapshot = Snapshot { index: 9, term: 1, metadata: Bytes::new(), payload };
    store.snapshots.save(&snapshot).unwrap();
    drop((store, folder));
    let free_bytes = DISK_BYTES - used_bytes(path.path());
    fs::write(path.path().join("other"), vec![1; free_bytes as usize]).unwrap();
    let (folder, mut store, recovered) = open(&disk, path.path());
    assert_eq!(recovered.base, LogBase { index: 9, term: 1 });
    assert!(!folder.reserve_is_whole());
    store.log.append(&[entry(10)]).unwrap();
}

/// Guards against a refill that a kill or a loss of power interrupts: the part that was written is
/// taken for a whole reserve, or takes space for good, or the folder does not open.
#[test]
fn interrupted_refill() {
    let whole = RESERVE_BYTES as usize;
    let mut hole = vec![0xff; whole];
    hole[whole / 2..whole / 2 + 512].fill(0);
    let cases: [(&str, Vec<u8>); 5] = [
        ("empty", Vec::new()),
        ("first part", vec![0xff; whole / 3]),
        ("length without content", vec![0; whole]),
        ("hole", hole),
        ("of a larger disk", vec![0xff; 2 * whole]),
    ];
    for (name, content) in cases {
        for full in [false, true] {
            let path = tempfile::tempdir().unwrap();
            let disk = DiskStandIn::new(DISK_BYTES);
            drop(fill_disk(&disk, path.path()));
            fs::write(path.path().join("reserve"), &content).unwrap();
            if full {
                disk.set_capacity(0);
            } else {
                fs::remove_file(path.path().join("other")).unwrap();
            }
            let (folder, mut store, recovered) = open(&disk, path.path());
            assert_eq!(last_index(&recovered), 3, "{name}");
            assert_eq!(folder.reserve_is_whole(), !full, "{name}");
            let expected_bytes = if full { 0 } else { RESERVE_BYTES };
            assert_eq!(reserve_length(path.path()), expected_bytes, "{name}");
            disk.set_capacity(2 * DISK_BYTES);
            assert!(folder.refill_reserve().unwrap(), "{name}");
            let reserve = fs::read(path.path().join("reserve")).unwrap();
            assert!(reserve.len() == whole && !reserve.contains(&0), "{name}");
            store.log.append(&[entry(4)]).unwrap();
        }
    }
}

/// Guards against a faulty disk that is taken for a full one when the reserve is released or filled,
/// so that the stores continue on it.
#[test]
fn faulty_disk() {
    let path = tempfile::tempdir().unwrap();
    let disk = DiskStandIn::new(DISK_BYTES);
    let (folder, mut store) = fill_disk(&disk, path.path());
    store.hard_state.save(VOTE).unwrap();
    disk.set_refusing(true);
    let error = folder.refill_reserve().unwrap_err();
    assert!(matches!(error, StorageError::Io { .. }), "{error:?}");
    disk.set_refusing(false);
    let error = store.log.append(&[entry(4)]).unwrap_err();
    assert!(matches!(error, StorageError::Refused { .. }), "{error:?}");
    let error = folder.refill_reserve().unwrap_err();
    assert!(matches!(error, StorageError::Refused { .. }), "{error:?}");
}
