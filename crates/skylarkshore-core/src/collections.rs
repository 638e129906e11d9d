//! Hash collections with a fast hasher and a fixed seed, and ordered collections.
//!
//! The fixed seed makes runs reproducible. Text that callers choose is hashed or
//! checked against the catalogue before it becomes a key, so that callers can't
//! construct colliding keys.

use foldhash::fast::FixedState;

/// A hash map with a fast hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A hash set with a fast hasher.
pub type HashSet<T> = std::collections::HashSet<T, FixedState>;

/// An ordered map, for iteration that influences a decision.
pub type OrderedMap<K, V> = std::collections::BTreeMap<K, V>;

/// An ordered set, for iteration that influences a decision.
pub type OrderedSet<T> = std::collections::BTreeSet<T>;
