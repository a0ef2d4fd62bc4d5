//! Recovery of synced data when the data folder is opened again.
#![allow(clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use yuccatack_storage::{DataFolder, HardState, LogBase, Snapshot, Store, StoredEntry};

fn entry(term: u64, index: u64) -> StoredEntry {
    let payload = Bytes::from(format!("entry {index} of term {term}"));
    StoredEntry { term, index, payload }
}

/// Guards against a store that loses or reorders synced entries, or loses the hard state.
#[test]
fn recovers_synced_data() {
    let path = tempfile::tempdir().unwrap();
    let folder = DataFolder::open(path.path(), 7).unwrap();
    let incarnation = folder.incarnation();
    assert!(folder.newly_formatted());
    let (mut store, recovered) = Store::open(&folder).unwrap();
    assert!(recovered.entries.is_empty() && recovered.snapshot.is_none());
    let state = HardState { term: 3, voted_for: 2, cluster: 9 };
    store.hard_state.save(state).unwrap();
    store.log.append(&[entry(1, 1), entry(1, 2), entry(1, 3)]).unwrap();
    // A new leader replaces conflicting entries at the end of the log.
    store.log.append(&[entry(2, 2), entry(2, 3)]).unwrap();
    store.log.append(&[entry(3, 3)]).unwrap();
    drop((store, folder));

    let folder = DataFolder::open(path.path(), 7).unwrap();
    assert_eq!(folder.incarnation(), incarnation);
    assert!(!folder.newly_formatted());
    let (_, recovered) = Store::open(&folder).unwrap();
    assert_eq!(recovered.hard_state, state);
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 2), entry(3, 3)]);
}

/// Guards against a compaction that loses entries, or after which appends go to the replaced file.
#[test]
fn compaction_keeps_entries() {
    let path = tempfile::tempdir().unwrap();
    let folder = DataFolder::open(path.path(), 7).unwrap();
    let (mut store, _) = Store::open(&folder).unwrap();
    store.hard_state.save(HardState { term: 1, voted_for: 1, cluster: 9 }).unwrap();
    let all: Vec<_> = (1..=10).map(|index| entry(1, index)).collect();
    store.log.append(&all).unwrap();
    let snapshot = Snapshot {
        index: 8,
        term: 1,
        metadata: Bytes::from_static(b"members"),
        payload: Bytes::from_static(b"state"),
    };
    store.snapshots.save(&snapshot).unwrap();
    store.log.rewrite(LogBase { index: 6, term: 1 }, &all[6..]).unwrap();
    store.log.append(&[entry(2, 11)]).unwrap();
    drop((store, folder));

    let folder = DataFolder::open(path.path(), 7).unwrap();
    let (_, recovered) = Store::open(&folder).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.base, LogBase { index: 6, term: 1 });
    let indexes: Vec<_> = recovered.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, [7, 8, 9, 10, 11]);
}

/// Guards against a process that stops between saving a received snapshot and replacing the log:
/// the old log would conflict with the snapshot, or the next append would leave a gap.
#[test]
fn completes_interrupted_installation() {
    for (snapshot_index, snapshot_term) in [(20, 4), (3, 4)] {
        let path = tempfile::tempdir().unwrap();
        let folder = DataFolder::open(path.path(), 7).unwrap();
        let (mut store, _) = Store::open(&folder).unwrap();
        store.hard_state.save(HardState { term: 4, voted_for: 1, cluster: 9 }).unwrap();
        store.log.append(&[entry(1, 1), entry(1, 2), entry(1, 3), entry(1, 4)]).unwrap();
        let snapshot = Snapshot {
            index: snapshot_index,
            term: snapshot_term,
            metadata: Bytes::new(),
            payload: Bytes::from_static(b"state"),
        };
        store.snapshots.save(&snapshot).unwrap();
        drop((store, folder));

        let folder = DataFolder::open(path.path(), 7).unwrap();
        let (mut store, recovered) = Store::open(&folder).unwrap();
        assert_eq!(recovered.base, LogBase { index: snapshot_index, term: snapshot_term });
        assert!(recovered.entries.is_empty());
        store.log.append(&[entry(4, snapshot_index + 1)]).unwrap();
        drop((store, folder));
        let folder = DataFolder::open(path.path(), 7).unwrap();
        let (_, recovered) = Store::open(&folder).unwrap();
        assert_eq!(recovered.entries, [entry(4, snapshot_index + 1)]);
    }
}
