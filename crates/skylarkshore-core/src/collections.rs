//! Hash collections with a fast, fixed hasher.
//!
//! The seed is fixed so that a run can be repeated exactly. Text that callers
//! choose is digested or checked against the catalogue before it becomes a key,
//! so that nobody can pick keys that collide.

use foldhash::fast::FixedState;

/// A hash map with a fast hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A hash set with a fast hasher.
pub type HashSet<T> = std::collections::HashSet<T, FixedState>;

/// An ordered map, for whatever is iterated to make a decision.
pub type OrderedMap<K, V> = std::collections::BTreeMap<K, V>;

/// An ordered set, for whatever is iterated to make a decision.
pub type OrderedSet<T> = std::collections::BTreeSet<T>;
