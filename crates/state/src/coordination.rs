use crate::Name;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lock {
    pub holder: Name,
    pub fence: u64,
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    pub revision: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    Lock,
    Number,
    Key,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Locked { fence: u64 },
    Freed,
    Number(u64),
    Key(Key),
    KeyGone,
}

/// One change of a lock, number or key, as watches tell it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub revision: u64,
    pub name: Name,
    pub change: Change,
}

impl Event {
    pub fn resource_kind(&self) -> ResourceKind {
        match self.change {
            Change::Locked { .. } | Change::Freed => ResourceKind::Lock,
            Change::Number(_) => ResourceKind::Number,
            Change::Key(_) | Change::KeyGone => ResourceKind::Key,
        }
    }
}

/// What an application asks; `holder` is its own token for itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Lock {
        name: Name,
        holder: Name,
        ttl_ms: u64,
    },
    /// For as long as it was taken, or as long as asked now.
    Renew {
        name: Name,
        holder: Name,
        fence: u64,
        ttl_ms: Option<u64>,
    },
    Free {
        name: Name,
        holder: Name,
        fence: u64,
    },
    ReadLock {
        name: Name,
    },
    Next {
        name: Name,
        by: u64,
    },
    ReadNumber {
        name: Name,
    },
    Put {
        name: Name,
        value: Vec<u8>,
        revision: Option<u64>,
    },
    Remove {
        name: Name,
        revision: Option<u64>,
    },
    ReadKey {
        name: Name,
    },
    Watch {
        sort: ResourceKind,
        prefix: Name,
        after: Option<u64>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Locked {
        fence: u64,
        ttl_ms: u64,
    },
    #[serde(rename = "Held")]
    LockedByOther {
        fence: u64,
    },
    Freed,
    #[serde(rename = "NotHeld")]
    NotOwner,
    NoLock,
    Number(u64),
    Key(Key),
    NoKey,
    Conflict {
        revision: u64,
    },
    Removed {
        revision: u64,
    },
    Events {
        events: Vec<Event>,
        next: u64,
    },
    TooOld {
        floor: u64,
    },
}
