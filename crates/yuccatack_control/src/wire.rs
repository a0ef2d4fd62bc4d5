//! Encoding of log commands and snapshots, and hashes of states.

use serde::Serialize;
pub use yuccatack_replication::{EncodingError, decode, encode};

/// Returns a hash of a state, to compare replicas at the same log index.
pub fn state_hash<State>(state: &State) -> Result<u64, EncodingError>
where
    State: Serialize,
{
    let bytes = encode(state)?;
    let mut prefix = [0; 8];
    blake3::Hasher::new().update(&bytes).finalize_xof().fill(&mut prefix);
    Ok(u64::from_le_bytes(prefix))
}
