//! An application's call for a lock, number or key, and its outcome.

use crate::{Event, Key, Name, ResourceKind};
use serde::{Deserialize, Serialize};

/// What an application requests; `holder` is its own token for itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Acquires a lock, or extends it for its owner.
    Lock {
        /// The lock.
        name: Name,
        /// The application.
        holder: Name,
        /// How long the lock lasts without a renewal.
        ttl_ms: u64,
    },
    /// Extends a lock.
    Renew {
        /// The lock.
        name: Name,
        /// The application.
        holder: Name,
        /// The fencing token of its grant.
        fence: u64,
        /// How long it lasts from now on; none: as long as at its grant.
        ttl_ms: Option<u64>,
    },
    /// Releases a lock.
    Free {
        /// The lock.
        name: Name,
        /// The application.
        holder: Name,
        /// The fencing token of its grant.
        fence: u64,
    },
    /// Reads whether a lock has an owner.
    ReadLock {
        /// The lock.
        name: Name,
    },
    /// Increments a counter.
    Next {
        /// The counter.
        name: Name,
        /// By how much.
        by: u64,
    },
    /// Reads a counter.
    ReadNumber {
        /// The counter.
        name: Name,
    },
    /// Sets a key's value.
    Put {
        /// The key.
        name: Name,
        /// Its new value.
        value: Vec<u8>,
        /// Only if this is the key's revision, 0 for a key that doesn't exist; none: in any case.
        revision: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key.
        name: Name,
        /// Only if this is the key's revision; none: in any case.
        revision: Option<u64>,
    },
    /// Reads a key.
    ReadKey {
        /// The key.
        name: Name,
    },
    /// Reads events, or waits for the next.
    Watch {
        /// Of locks, numbers or keys.
        sort: ResourceKind,
        /// What the names begin with.
        prefix: Name,
        /// Events after this revision; none: those from now on.
        after: Option<u64>,
    },
}

/// What a call led to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The lock is the application's.
    Locked {
        /// The fencing token of the grant.
        fence: u64,
        /// How long it lasts without a renewal.
        ttl_ms: u64,
    },
    /// Another application owns the lock.
    #[serde(rename = "Held")]
    LockedByOther {
        /// The fencing token of the owner's grant.
        fence: u64,
    },
    /// The lock was released.
    Freed,
    /// The application doesn't own the lock, or no longer under this fencing token.
    #[serde(rename = "NotHeld")]
    NotOwner,
    /// The lock that was read has no owner.
    NoLock,
    /// The counter's value.
    Number(u64),
    /// The key's value.
    Key(Key),
    /// The key doesn't exist.
    NoKey,
    /// The key's revision is another than the call requires, or the counter would overflow.
    Conflict {
        /// The key's revision, or the counter's value.
        revision: u64,
    },
    /// The key was removed.
    Removed {
        /// The revision of the removal.
        revision: u64,
    },
    /// Events, or none within the time that a watch waits.
    Events {
        /// In the order of their revisions.
        events: Vec<Event>,
        /// The revision to watch after next.
        next: u64,
    },
    /// The events that a watch requests are no longer retained.
    TooOld {
        /// Events after this revision are available.
        floor: u64,
    },
}
