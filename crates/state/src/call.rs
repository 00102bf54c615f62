//! Applications' calls on locks, numbers and keys, and their outcomes.

use crate::{Event, Key, Name, ResourceKind};
use serde::{Deserialize, Serialize};

/// A call by an application. `holder` is the token by which the application identifies itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Acquires a lock, or extends it for its owner.
    Lock {
        /// Name of the lock.
        name: Name,
        /// Token of the calling application.
        holder: Name,
        /// How long the lock lasts without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lock.
    Renew {
        /// Name of the lock.
        name: Name,
        /// Token of the calling application.
        holder: Name,
        /// Fencing token of the lock's grant.
        fence: u64,
        /// How long the lock lasts without a further renewal, in milliseconds; `None` for the time
        /// to live that is recorded for it.
        ttl_ms: Option<u64>,
    },
    /// Releases a lock. If the owner may have started the lock again after it sent this call, the
    /// controller does not execute it and requires `FreeConfirmed`.
    Free {
        /// Name of the lock.
        name: Name,
        /// Token of the calling application.
        holder: Name,
        /// Fencing token of the lock's grant.
        fence: u64,
    },
    /// Releases a lock unless its grant has changed since this version. The sender learned the
    /// version from the controller, and saw after that that the calling application still waits for
    /// the outcome of its `Free`.
    FreeConfirmed {
        /// Name of the lock.
        name: Name,
        /// Token of the calling application.
        holder: Name,
        /// Fencing token of the lock's grant.
        fence: u64,
        /// Version that the grant must have.
        version: GrantVersion,
    },
    /// Reads whether a lock has an owner.
    ReadLock {
        /// Name of the lock.
        name: Name,
    },
    /// Increments a counter.
    Next {
        /// Name of the counter.
        name: Name,
        /// Amount that is added to the counter.
        by: u64,
    },
    /// Reads a counter.
    ReadNumber {
        /// Name of the counter.
        name: Name,
    },
    /// Sets a key's value, and creates the key if it doesn't exist.
    Put {
        /// Name of the key.
        name: Name,
        /// New value of the key.
        value: Vec<u8>,
        /// Revision that the key must have, 0 if it must not exist; `None` for no condition.
        revision: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// Name of the key.
        name: Name,
        /// Revision that the key must have; `None` for no condition.
        revision: Option<u64>,
    },
    /// Reads a key.
    ReadKey {
        /// Name of the key.
        name: Name,
    },
    /// Reads events, or waits for the next one.
    Watch {
        /// Kind of the resources whose events are read.
        sort: ResourceKind,
        /// Prefix of the resources' names.
        prefix: Name,
        /// Revision after which events are read; `None` for events from now on.
        after: Option<u64>,
    },
}

impl Call {
    /// Returns whether the call only reads.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Call::ReadLock { .. }
                | Call::ReadNumber { .. }
                | Call::ReadKey { .. }
                | Call::Watch { .. }
        )
    }
}

/// The version of a lock's grant within a leader's term. It changes each time that the owner gets
/// the lock by a start, also if the owner holds it already and gets the same fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantVersion {
    /// Raft term of the leader that counts the starts.
    pub term: u64,
    /// Number of starts that this leader counted; 0 for a grant of an earlier leader.
    pub starts: u64,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The calling application owns the lock.
    Locked {
        /// Fencing token of the grant.
        fence: u64,
        /// How long the lock lasts without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Another application owns the lock; for `ReadLock`, any application does.
    #[serde(rename = "Held")]
    LockedByOther {
        /// Fencing token of the owner's grant.
        fence: u64,
    },
    /// The lock was released.
    Freed,
    /// The calling application doesn't own the lock, or owns it under another fencing token.
    #[serde(rename = "NotHeld")]
    NotOwner,
    /// The lock that was read has no owner.
    NoLock,
    /// The counter's value after the call.
    Number(u64),
    /// The key's value and revision after the call.
    Key(Key),
    /// The key doesn't exist.
    NoKey,
    /// The key's revision differs from the one that the call requires, or the counter would
    /// overflow.
    Conflict {
        /// Current revision of the key (0 if it doesn't exist), or current value of the counter.
        revision: u64,
    },
    /// The key was removed.
    Removed {
        /// Revision of the removal.
        revision: u64,
    },
    /// Events that a watch returns; none if the wait ended without an event.
    Events {
        /// The events in ascending order of their revisions.
        events: Vec<Event>,
        /// Revision to pass as `after` in the next watch.
        next: u64,
    },
    /// The events that a watch requested are not available: no longer retained, or after a revision
    /// that has not been reached.
    TooOld {
        /// Revision after which events are available.
        floor: u64,
    },
}
