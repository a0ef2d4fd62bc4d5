//! Files that an earlier version wrote, before a folder had a reserve.
#![allow(clippy::unwrap_used, missing_docs)]

use std::fs;
use std::path::Path;

use bytes::Bytes;
use yuccatack_core::Incarnation;
use yuccatack_storage::{
    DataFolder, DiskSettings, HardState, LogBase, Snapshot, Store, StoredEntry,
};

const FORMAT_FILE: &[u8] = &[
    0x79, 0x75, 0x63, 0x64, 0x61, 0x74, 0x61, 0x0a, 0x01, 0x00, 0x00, 0x00, 0x07, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0xa8, 0x1c, 0x9e, 0x45, 0xd2, 0x76, 0x2d, 0x61, 0x4d, 0x5d, 0x88, 0x31,
];

const HARD_STATE_FILE: &[u8] = &[
    0x03, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x09, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x40, 0x5d, 0x30, 0x63,
];

const LOG_FILE: &[u8] = &[
    0x79, 0x75, 0x63, 0x6c, 0x6f, 0x67, 0x31, 0x0a, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x8a, 0x19, 0x58, 0x21, 0x05, 0x00, 0x00, 0x80,
    0x56, 0x7d, 0xdd, 0x6e, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x66, 0x69, 0x66, 0x74, 0x68, 0x05, 0x00, 0x00, 0x00, 0x3c, 0x44, 0x5c,
    0x59, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x06, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x73, 0x69, 0x78, 0x74, 0x68, 0x05, 0x00, 0x00, 0x80, 0xb6, 0x0a, 0x95, 0x3c, 0x03, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x06, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x6f, 0x74,
    0x68, 0x65, 0x72, 0x00, 0x00, 0x00, 0x00, 0x66, 0x26, 0xd8, 0x2c, 0x03, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
];

const SNAPSHOT_FILE: &[u8] = &[
    0x79, 0x75, 0x63, 0x73, 0x6e, 0x61, 0x70, 0x0a, 0x05, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x07, 0x00, 0x00, 0x00, 0xc3, 0x6b, 0x20, 0xab,
    0x6d, 0x65, 0x6d, 0x62, 0x65, 0x72, 0x73, 0x73, 0x74, 0x61, 0x74, 0x65,
];

const DISK_BYTES: u64 = 1 << 20;

fn entry(term: u64, index: u64, payload: &'static [u8]) -> StoredEntry {
    StoredEntry { term, index, payload: Bytes::from_static(payload) }
}

/// Writes the files as the earlier version left them. Its log has a rewritten base, a replaced entry
/// and an empty entry.
fn write_folder(path: &Path) {
    fs::write(path.join("format"), FORMAT_FILE).unwrap();
    fs::write(path.join("hard_state"), HARD_STATE_FILE).unwrap();
    fs::write(path.join("log"), LOG_FILE).unwrap();
    fs::write(path.join("snapshot"), SNAPSHOT_FILE).unwrap();
    fs::write(path.join("lock"), []).unwrap();
}

fn snapshot() -> Snapshot {
    let metadata = Bytes::from_static(b"members");
    Snapshot { index: 5, term: 1, metadata, payload: Bytes::from_static(b"state") }
}

/// Guards against a change of a stored format, which would make the data of a replica unreadable
/// after an upgrade.
#[test]
fn files_read() {
    let path = tempfile::tempdir().unwrap();
    write_folder(path.path());
    let folder = DataFolder::open(path.path(), 7).unwrap();
    assert!(!folder.newly_formatted());
    assert_eq!(folder.incarnation(), Incarnation::new(7_002_383_641_114_188_968));
    let (_store, recovered) = Store::open(&folder).unwrap();
    assert_eq!(recovered.hard_state, HardState { term: 3, voted_for: 2, cluster: 9 });
    assert_eq!(recovered.snapshot, Some(snapshot()));
    assert_eq!(recovered.base, LogBase { index: 4, term: 1 });
    let expected = [entry(1, 5, b"fifth"), entry(3, 6, b"other"), entry(3, 7, b"")];
    assert_eq!(recovered.entries, expected);
}

/// Guards against a version that reads the older files and writes other ones, which the earlier
/// version could not read after a downgrade.
#[test]
fn files_written() {
    let path = tempfile::tempdir().unwrap();
    let folder = DataFolder::open(path.path(), 7).unwrap();
    let (mut store, _) = Store::open(&folder).unwrap();
    store.hard_state.save(HardState { term: 3, voted_for: 2, cluster: 9 }).unwrap();
    let base = LogBase { index: 4, term: 1 };
    store.log.rewrite(base, &[entry(1, 5, b"fifth"), entry(2, 6, b"sixth")]).unwrap();
    store.log.append(&[entry(3, 6, b"other"), entry(3, 7, b"")]).unwrap();
    store.snapshots.save(&snapshot()).unwrap();
    assert_eq!(fs::read(path.path().join("hard_state")).unwrap(), HARD_STATE_FILE);
    assert_eq!(fs::read(path.path().join("log")).unwrap(), LOG_FILE);
    assert_eq!(fs::read(path.path().join("snapshot")).unwrap(), SNAPSHOT_FILE);
    // The incarnation and the checksum of the format file are random.
    let format = fs::read(path.path().join("format")).unwrap();
    assert_eq!(format.len(), FORMAT_FILE.len());
    assert_eq!(format[..20], FORMAT_FILE[..20]);
}

/// Guards against an older folder, which has no reserve, that does not open on a disk with one or
/// does not keep its data there.
#[test]
fn folder_continues() {
    let path = tempfile::tempdir().unwrap();
    write_folder(path.path());
    let disk = DiskSettings::new(DISK_BYTES);
    let folder = DataFolder::open_on_disk(&disk, path.path(), 7).unwrap();
    assert!(folder.reserve_is_whole());
    let (mut store, _) = Store::open(&folder).unwrap();
    store.log.append(&[entry(4, 8, b"eighth")]).unwrap();
    let state = HardState { term: 4, voted_for: 7, cluster: 9 };
    store.hard_state.save(state).unwrap();
    drop((store, folder));
    let folder = DataFolder::open_on_disk(&disk, path.path(), 7).unwrap();
    let (_store, recovered) = Store::open(&folder).unwrap();
    let indexes: Vec<_> = recovered.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, [5, 6, 7, 8]);
    assert_eq!(recovered.hard_state, state);
    assert_eq!(recovered.snapshot, Some(snapshot()));
}
