//! Hash collections with a fast hasher.

/// A hash map for keys that callers do not choose freely.
///
/// The hasher has no random seed, so limit the number of keys where callers can choose them.
/// Replicated state that is iterated uses `BTreeMap` instead, so that every replica iterates alike.
pub type FastHashMap<Key, Value> = rustc_hash::FxHashMap<Key, Value>;

/// The set that goes with [`FastHashMap`].
pub type FastHashSet<Key> = rustc_hash::FxHashSet<Key>;
