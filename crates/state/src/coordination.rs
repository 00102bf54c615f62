//! Locks, numbers and keys, and the events of their changes.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A lock that has an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lock {
    /// The owner's own token for itself.
    pub holder: Name,
    /// The fencing token of the grant.
    pub fence: u64,
    /// How long it lasts without a renewal.
    pub ttl_ms: u64,
}

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// As the application stored it.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// The revision of its newest change.
    pub revision: u64,
}

/// What a name stands for; each kind has names of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    /// A lock.
    Lock,
    /// A counter.
    Number,
    /// A key.
    Key,
}

/// How a lock, number or key changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The lock was granted or extended.
    Locked {
        /// The fencing token of the grant.
        fence: u64,
    },
    /// The lock was released, or it ran out.
    Freed,
    /// The counter has this value.
    Number(u64),
    /// The key has this value.
    Key(Key),
    /// The key was removed.
    KeyGone,
}

/// One change of a lock, number or key, as watches report it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Grows by one with each event.
    pub revision: u64,
    /// Which lock, number or key.
    pub name: Name,
    /// How it changed.
    pub change: Change,
}

/// Events in the order of their revisions.
pub type Events = Vec<Arc<Event>>;

impl Event {
    /// What its name stands for.
    pub fn resource_kind(&self) -> ResourceKind {
        match self.change {
            Change::Locked { .. } | Change::Freed => ResourceKind::Lock,
            Change::Number(_) => ResourceKind::Number,
            Change::Key(_) | Change::KeyGone => ResourceKind::Key,
        }
    }
}
