//! Hash collections with a fast hasher.

/// A hash map for keys that callers cannot choose freely.
///
/// The hasher has no random seed and does not resist collision attacks, so limit the number of keys
/// where callers can choose them. Replicated state that is iterated uses `BTreeMap` instead, so
/// that every replica iterates in the same order.
pub type FastHashMap<Key, Value> = rustc_hash::FxHashMap<Key, Value>;

/// A hash set with the hasher of [`FastHashMap`] and the same restriction on keys.
pub type FastHashSet<Key> = rustc_hash::FxHashSet<Key>;
