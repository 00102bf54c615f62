//! Locks, numbers (counters) and keys, and the events that report their changes.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A lock that has an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lock {
    /// The token by which the owner identifies itself.
    pub holder: Name,
    /// Fencing token of the grant.
    pub fence: u64,
    /// How long the lock lasts without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// The bytes that the application stored.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Revision of the key's newest change.
    pub revision: u64,
}

/// The kind of a named resource. Each kind has a namespace of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    /// A lock with a time to live and a fencing token.
    Lock,
    /// A counter that only grows.
    Number,
    /// A key with a value and a revision.
    Key,
}

/// How a lock, number or key changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The lock was granted or extended.
    Locked {
        /// Fencing token of the grant.
        fence: u64,
    },
    /// The lock was released, or it expired.
    Freed,
    /// The counter changed to this value.
    Number(u64),
    /// The key was set to this value.
    Key(Key),
    /// The key was removed.
    KeyGone,
}

/// One change of a lock, number or key, as watches report it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The event's revision: one more than the previous event's.
    pub revision: u64,
    /// Name of the lock, number or key that changed.
    pub name: Name,
    /// How the lock, number or key changed.
    pub change: Change,
}

/// Events in ascending order of their revisions.
pub type Events = Vec<Arc<Event>>;

impl Event {
    /// Returns the kind of the resource that changed.
    pub fn resource_kind(&self) -> ResourceKind {
        match self.change {
            Change::Locked { .. } | Change::Freed => ResourceKind::Lock,
            Change::Number(_) => ResourceKind::Number,
            Change::Key(_) | Change::KeyGone => ResourceKind::Key,
        }
    }
}
