//! Durability of what a reopened data folder contains.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use yuccatack_storage::{
    DataFolder, DurableFile, FileSystem, HardState, LocalFileSystem, Snapshot, Store, StoredEntry,
};

/// Names of the files that were synced.
type Synced = Arc<Mutex<BTreeSet<String>>>;

#[derive(Debug, Default)]
struct RecordingFileSystem {
    synced: Synced,
}

struct RecordingFile {
    path: PathBuf,
    synced: Synced,
    file: Box<dyn DurableFile>,
}

impl FileSystem for RecordingFileSystem {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        LocalFileSystem.create(path)
    }

    fn open_for_append(&self, path: &Path) -> io::Result<Box<dyn DurableFile>> {
        let file = LocalFileSystem.open_for_append(path)?;
        let synced = Arc::clone(&self.synced);
        Ok(Box::new(RecordingFile { path: path.to_owned(), synced, file }))
    }
}

impl DurableFile for RecordingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let name = self.path.file_name().unwrap().to_str().unwrap().to_owned();
        self.synced.lock().unwrap().insert(name);
        self.file.sync()
    }

    fn truncate(&mut self, length_bytes: u64) -> io::Result<()> {
        self.file.truncate(length_bytes)
    }
}

/// Guards against entries and votes that a process wrote, did not sync before it was killed, and
/// confirms after its restart: a power loss would then undo what was confirmed.
#[test]
fn recovered_files_synced() {
    let path = tempfile::tempdir().unwrap();
    let folder = DataFolder::open(path.path(), 1).unwrap();
    let (mut store, _) = Store::open(&folder).unwrap();
    store.hard_state.save(HardState { term: 1, voted_for: 1, cluster: 9 }).unwrap();
    store.log.append(&[StoredEntry { term: 1, index: 1, payload: Bytes::new() }]).unwrap();
    let payload = Bytes::new();
    store
        .snapshots
        .save(&Snapshot { index: 1, term: 1, metadata: payload.clone(), payload })
        .unwrap();
    drop((store, folder));

    let file_system = Arc::new(RecordingFileSystem::default());
    let synced = Arc::clone(&file_system.synced);
    let folder = DataFolder::open_on(file_system, path.path(), 1).unwrap();
    Store::open(&folder).unwrap();
    let expected = ["hard_state", "log", "snapshot"].map(str::to_owned);
    assert_eq!(*synced.lock().unwrap(), BTreeSet::from(expected));
}
