//! Encoding of logged commands and snapshots, and digests of states.

use serde::Serialize;
pub use yuccatack_replication::{EncodingError, decode, encode};

/// A digest of a state, to compare replicas at equal log positions.
pub fn state_hash<State>(state: &State) -> Result<u64, EncodingError>
where
    State: Serialize,
{
    let bytes = encode(state)?;
    let mut prefix = [0; 8];
    blake3::Hasher::new().update(&bytes).finalize_xof().fill(&mut prefix);
    Ok(u64::from_le_bytes(prefix))
}
