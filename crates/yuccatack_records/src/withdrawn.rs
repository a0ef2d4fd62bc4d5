//! Generations of withdrawn names.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::record::RecordKey;

/// The generations of names that were in use and are no longer in force.
///
/// An entry is never evicted: it keeps generations from going back, and a resent submission whose
/// change id was evicted is refused because of it. Names are stored as 64-bit digests, because each
/// of the 8,600 jobs a day leaves an entry. Two names with equal digests share the larger
/// generation; a submission under the other name is then refused once, with the generation that it
/// has to replace.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct WithdrawnNames {
    generations: BTreeMap<u64, Generation>,
}

impl WithdrawnNames {
    /// Returns the generation of the withdrawal; 0 if the name was never withdrawn.
    pub fn generation(&self, key: &RecordKey) -> Generation {
        self.generations.get(&digest(key)).copied().unwrap_or_default()
    }

    /// Records a withdrawal; a larger generation that is already stored stays.
    pub fn insert(&mut self, key: &RecordKey, generation: Generation) {
        let stored = self.generations.entry(digest(key)).or_default();
        *stored = generation.max(*stored);
    }
}

fn digest(key: &RecordKey) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.kind.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(key.name.as_str().as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
