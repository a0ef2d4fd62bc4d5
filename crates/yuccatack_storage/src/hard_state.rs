//! Raft hard state: term, vote and cluster.

use crate::error::{CorruptedSnafu, StorageError};
use crate::file::{read_if_present, replace_file};
use crate::folder::DataFolder;
use crate::format::{u32_at, u64_at};

pub(crate) const HARD_STATE_FILE: &str = "hard_state";
const LENGTH_BYTES: usize = 3 * 8 + 4;

/// Consensus state that a replica must persist besides its log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Newest term that the replica has seen.
    pub term: u64,
    /// Identifier of the replica that this one voted for in `term`; 0 for none.
    pub voted_for: u64,
    /// Identifier of the cluster that the replica belongs to; 0 for none.
    pub cluster: u64,
}

/// Store of the hard state, a file that is replaced atomically.
#[derive(Debug)]
pub struct HardStateStore {
    folder: DataFolder,
}

impl HardStateStore {
    /// Reads the stored hard state, or the default if none was saved.
    pub fn open(folder: &DataFolder) -> Result<(Self, HardState), StorageError> {
        let path = folder.path().join(HARD_STATE_FILE);
        let state = match read_if_present(&path)? {
            None => HardState::default(),
            Some(bytes) => decode(&bytes).ok_or_else(|| {
                CorruptedSnafu { path, offset_bytes: 0u64, detail: "wrong checksum" }.build()
            })?,
        };
        Ok((Self { folder: folder.clone() }, state))
    }

    /// Replaces the hard state atomically; it is on disk when this returns.
    pub fn save(&mut self, state: HardState) -> Result<(), StorageError> {
        self.folder.run_unless_failed(|| {
            replace_file(
                self.folder.file_system(),
                self.folder.path(),
                HARD_STATE_FILE,
                &[&encode(state)],
            )
        })
    }
}

fn encode(state: HardState) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LENGTH_BYTES);
    bytes.extend_from_slice(&state.term.to_le_bytes());
    bytes.extend_from_slice(&state.voted_for.to_le_bytes());
    bytes.extend_from_slice(&state.cluster.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<HardState> {
    if bytes.len() != LENGTH_BYTES {
        return None;
    }
    if u32_at(bytes, LENGTH_BYTES - 4) != crc32fast::hash(&bytes[..LENGTH_BYTES - 4]) {
        return None;
    }
    Some(HardState {
        term: u64_at(bytes, 0),
        voted_for: u64_at(bytes, 8),
        cluster: u64_at(bytes, 16),
    })
}
