//! Errors for damaged, foreign and failing data folders; each of them states a remedy.
#![allow(clippy::unwrap_used, missing_docs)]

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, PermissionsExt};
use std::path::Path;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use yuccatack_storage::{
    DataFolder, DurableFile, FileSystem, HardState, LocalFileSystem, LogBase, Snapshot,
    StorageError, Store, StoredEntry,
};

fn entries(indexes: std::ops::RangeInclusive<u64>) -> Vec<StoredEntry> {
    let entry = |index| StoredEntry { term: 1, index, payload: Bytes::from(vec![7; 100]) };
    indexes.map(entry).collect()
}

/// Creates a data folder of replica 1 with three groups of entries, a snapshot and a hard state.
fn create_data_folder(path: &Path) {
    let folder = DataFolder::open(path, 1).unwrap();
    let (mut store, _) = Store::open(&folder).unwrap();
    store.log.append(&entries(1..=3)).unwrap();
    store.log.append(&entries(4..=6)).unwrap();
    store.log.append(&entries(7..=9)).unwrap();
    let metadata = Bytes::from_static(b"members");
    let payload = Bytes::from_static(b"state");
    store.snapshots.save(&Snapshot { index: 5, term: 1, metadata, payload }).unwrap();
    store.hard_state.save(HardState { term: 2, voted_for: 3, cluster: 4 }).unwrap();
}

fn open(path: &Path, replica_id: u64) -> Result<yuccatack_storage::Recovered, StorageError> {
    let folder = DataFolder::open(path, replica_id)?;
    Store::open(&folder).map(|(_, recovered)| recovered)
}

fn flip_byte(path: &Path, offset: u64) {
    let file = OpenOptions::new().read(true).write(true).open(path).unwrap();
    let mut byte = [0];
    file.read_exact_at(&mut byte, offset).unwrap();
    file.write_all_at(&[byte[0] ^ 1], offset).unwrap();
}

/// Length of the log header.
const HEADER_BYTES: u64 = 28;
/// Length of an encoded entry of `entries`.
const ENTRY_BYTES: u64 = 124;

type Damage = fn(&Path);

/// Guards against a damaged or foreign folder that is opened, or refused without a remedy.
#[test]
fn refused_folders() {
    let cases: [(&str, Damage, u64, &str, &str); 12] = [
        ("format file lost", |p| remove(p, "format"), 1, "Corrupted", "join again"),
        ("log lost", |p| remove(p, "log"), 1, "Corrupted", "join again"),
        ("hard state lost", |p| remove(p, "hard_state"), 1, "Corrupted", "join again"),
        (
            "first entry",
            |p| flip_byte(&p.join("log"), HEADER_BYTES + 50),
            1,
            "Corrupted",
            "join again",
        ),
        (
            "length of an entry in the second group",
            |p| flip_byte(&p.join("log"), HEADER_BYTES + 4 * ENTRY_BYTES + 1),
            1,
            "Corrupted",
            "join again",
        ),
        ("log header", |p| flip_byte(&p.join("log"), 9), 1, "Corrupted", "join again"),
        ("snapshot", |p| flip_byte(&p.join("snapshot"), 40), 1, "Corrupted", "join again"),
        ("hard state", |p| flip_byte(&p.join("hard_state"), 3), 1, "Corrupted", "join again"),
        ("format file", |p| flip_byte(&p.join("format"), 13), 1, "Corrupted", "join again"),
        ("other replica", |_| {}, 2, "OtherReplica", "`replica_id`"),
        ("newer format", |p| flip_byte(&p.join("format"), 9), 1, "NewerFormat", "newer program"),
        (
            "log that starts after the snapshot",
            |p| {
                let folder = DataFolder::open(p, 1).unwrap();
                let (mut store, _) = Store::open(&folder).unwrap();
                store.log.rewrite(LogBase { index: 7, term: 1 }, &entries(8..=9)).unwrap();
            },
            1,
            "Corrupted",
            "join again",
        ),
    ];
    for (name, damage, replica_id, kind, remedy) in cases {
        let folder = tempfile::tempdir().unwrap();
        create_data_folder(folder.path());
        damage(folder.path());
        let error = open(folder.path(), replica_id).expect_err(name);
        assert!(format!("{error:?}").starts_with(kind), "{name}: {error:?}");
        assert!(error.to_string().contains(remedy), "{name}: {error}");
    }
}

/// Guards against a torn last write, as a crash leaves it, that prevents a restart or is only
/// partly truncated.
#[test]
fn torn_tails() {
    let cases: [(&str, Damage, u64); 6] = [
        ("cut in the last entry", |p| truncate(p, 9 * ENTRY_BYTES - 1), 8),
        ("cut in a header", |p| truncate(p, 7 * ENTRY_BYTES + 5), 7),
        ("only the length", |p| truncate(p, 6 * ENTRY_BYTES + 2), 6),
        ("zeros after the end", |p| append(p, &[0; 4_000]), 9),
        ("garbage after the end", |p| append(p, &[0xa5; 333]), 9),
        (
            "first entry of the last group lost, later ones written",
            |p| flip_byte(&p.join("log"), HEADER_BYTES + 6 * ENTRY_BYTES + 60),
            6,
        ),
    ];
    for (name, damage, last) in cases {
        let folder = tempfile::tempdir().unwrap();
        create_data_folder(folder.path());
        damage(folder.path());
        let recovered = open(folder.path(), 1).expect(name);
        assert_eq!(recovered.entries.last().unwrap().index, last, "{name}");
        // A group that is appended after the truncation is readable only if no torn bytes remain.
        let data_folder = DataFolder::open(folder.path(), 1).unwrap();
        let (mut store, _) = Store::open(&data_folder).unwrap();
        store.log.append(&entries(last + 1..=last + 2)).unwrap();
        drop((store, data_folder));
        let recovered = open(folder.path(), 1).expect(name);
        assert_eq!(recovered.entries.len() as u64, last + 2, "{name}");
    }
}

fn remove(folder: &Path, name: &str) {
    fs::remove_file(folder.join(name)).unwrap();
}

fn truncate(folder: &Path, entry_bytes: u64) {
    let file = OpenOptions::new().write(true).open(folder.join("log")).unwrap();
    file.set_len(HEADER_BYTES + entry_bytes).unwrap();
}

fn append(folder: &Path, bytes: &[u8]) {
    OpenOptions::new().append(true).open(folder.join("log")).unwrap().write_all(bytes).unwrap();
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    Write(io::ErrorKind),
    Sync(io::ErrorKind),
}

/// A file system on which the next write or sync of the log fails; later calls succeed.
#[derive(Debug)]
struct FailingFileSystem {
    failure: Mutex<Option<Failure>>,
}

impl FileSystem for FailingFileSystem {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        LocalFileSystem.create(path)
    }

    fn open_for_append(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        let file = LocalFileSystem.open_for_append(path)?;
        let failure = self.failure.lock().unwrap().take();
        Ok(Box::new(FailingFile { file, failure }))
    }
}

/// A file on disk whose next write or sync fails; later calls succeed.
struct FailingFile {
    file: Box<dyn DurableFile>,
    failure: Option<Failure>,
}

impl DurableFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Some(Failure::Write(kind)) = self.failure {
            self.failure = None;
            self.file.append(&bytes[..bytes.len() / 2])?;
            return Err(kind.into());
        }
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if let Some(Failure::Sync(kind)) = self.failure {
            self.failure = None;
            return Err(kind.into());
        }
        self.file.sync()
    }

    fn truncate(&mut self, length_bytes: u64) -> io::Result<()> {
        self.file.truncate(length_bytes)
    }
}

/// Guards against a store that continues after a failed write or sync, when the content of the page
/// cache may differ from that of the disk; and against one that a full disk makes useless, or that
/// keeps a part of what it did not acknowledge on a full disk.
#[test]
fn failing_disks() {
    let cases = [
        (Failure::Write(io::ErrorKind::StorageFull), "DiskFull", "free space"),
        (Failure::Sync(io::ErrorKind::StorageFull), "DiskFull", "free space"),
        (Failure::Sync(io::ErrorKind::Other), "SyncFailed", "check the disk"),
        (Failure::Write(io::ErrorKind::ReadOnlyFilesystem), "ReadOnly", "writable"),
        (Failure::Write(io::ErrorKind::Other), "Io", "disk works"),
    ];
    for (failure, kind, remedy) in cases {
        let path = tempfile::tempdir().unwrap();
        create_data_folder(path.path());
        let file_system = FailingFileSystem { failure: Mutex::new(Some(failure)) };
        let folder = DataFolder::open_on(Arc::new(file_system), path.path(), 1).unwrap();
        let (store, _) = Store::open(&folder).unwrap();
        let Store { mut snapshots, mut hard_state, mut log } = store;
        let log_before = fs::read(path.path().join("log")).unwrap();
        let error = log.append(&entries(10..=12)).unwrap_err();
        assert!(format!("{error:?}").starts_with(kind), "{error:?}");
        assert!(error.to_string().contains(remedy), "{error}");
        if kind == "DiskFull" {
            assert_eq!(fs::read(path.path().join("log")).unwrap(), log_before, "{failure:?}");
            continues(path.path(), folder, Store { snapshots, hard_state, log });
            continue;
        }

        let metadata = Bytes::new();
        let snapshot =
            Snapshot { index: 6, term: 1, metadata: metadata.clone(), payload: metadata };
        let later_results = [
            log.append(&entries(10..=12)),
            log.rewrite(LogBase::default(), &[]),
            snapshots.save(&snapshot),
            hard_state.save(HardState::default()),
        ];
        for result in later_results {
            let error = result.unwrap_err();
            assert!(matches!(error, StorageError::Refused { .. }), "{error:?}");
            assert!(error.to_string().contains("start the replica again"), "{error}");
        }
        drop((log, folder, snapshots, hard_state));
        let recovered = open(path.path(), 1).unwrap();
        assert!(recovered.entries.len() >= 9, "synced entries were lost");
        assert_eq!(recovered.hard_state.term, 2);
    }
}

/// Checks that all operations work after a full disk, and that the folder then holds exactly what
/// they acknowledged.
fn continues(path: &Path, folder: DataFolder, mut store: Store) {
    let header_bytes = HEADER_BYTES as usize;
    let log_bytes = |count: usize| header_bytes + count * ENTRY_BYTES as usize;
    let log_length = || fs::read(path.join("log")).unwrap().len();
    store.log.append(&entries(10..=11)).unwrap();
    assert_eq!(log_length(), log_bytes(11));
    let metadata = Bytes::from_static(b"later members");
    let payload = Bytes::from_static(b"later state");
    let snapshot = Snapshot { index: 6, term: 1, metadata, payload };
    store.snapshots.save(&snapshot).unwrap();
    store.log.rewrite(LogBase { index: 6, term: 1 }, &entries(7..=11)).unwrap();
    store.log.append(&entries(12..=12)).unwrap();
    assert_eq!(log_length(), log_bytes(6));
    let hard_state = HardState { term: 5, voted_for: 2, cluster: 4 };
    store.hard_state.save(hard_state).unwrap();
    drop((store, folder));
    let recovered = open(path, 1).unwrap();
    assert_eq!(recovered.base, LogBase { index: 6, term: 1 });
    assert_eq!(recovered.entries, entries(7..=12));
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.hard_state, hard_state);
}

/// Guards against a folder that two processes use at the same time, and against an unclear error
/// for a folder that cannot be created.
#[test]
fn unusable_paths() {
    let path = tempfile::tempdir().unwrap();
    let first = DataFolder::open(path.path(), 1).unwrap();
    let error = DataFolder::open(path.path(), 1).unwrap_err();
    assert!(matches!(error, StorageError::Locked { .. }), "{error:?}");
    assert!(error.to_string().contains("stop that process"), "{error}");
    drop(first);
    DataFolder::open(path.path(), 1).unwrap();

    let file = path.path().join("file");
    fs::write(&file, "").unwrap();
    let error = DataFolder::open(&file.join("folder"), 1).unwrap_err();
    assert!(matches!(error, StorageError::Io { .. }), "{error:?}");
}

/// Guards against a read-only folder that is reported as another error. The superuser can write to
/// any folder on a disk, so for it the test uses `/sys`, in which no file can be created.
#[test]
fn read_only_folder() {
    let path = tempfile::tempdir().unwrap();
    fs::set_permissions(path.path(), fs::Permissions::from_mode(0o555)).unwrap();
    let superuser = File::create(path.path().join("probe")).is_ok();
    let folder = if superuser { Path::new("/sys") } else { path.path() };
    let error = DataFolder::open(folder, 1).unwrap_err();
    fs::set_permissions(path.path(), fs::Permissions::from_mode(0o755)).unwrap();
    assert!(matches!(error, StorageError::ReadOnly { .. }), "{error:?}");
    assert!(error.to_string().contains("writable"), "{error}");
}
