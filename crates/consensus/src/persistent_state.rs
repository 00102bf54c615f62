//! What a member has on disk (thesis, 3.8), and the writes that bring it there.

use crate::{Entry, Member, MemberId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Term and vote: on disk before a message of that term grants or acknowledges anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that this member took part in.
    pub term: u64,
    /// Candidate that received this member's vote in `term`.
    pub voted_for: Option<MemberId>,
}

/// The state after all entries up to an index (thesis, chapter 5).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Configuration at that entry.
    pub members: Vec<Member>,
    /// Bytes of the application.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// What the disk returned at the start of the process; all empty for a new disk.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Term of the last hard state.
    pub term: u64,
    /// Vote of the last hard state.
    pub voted_for: Option<MemberId>,
    /// The newest complete snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}

/// One write to the disk. Writes are applied in the order of their sequences.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Write {
    /// Replaces the hard state.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Removes the log's entries from an index on.
    Truncate {
        /// First entry to remove.
        from: u64,
    },
    /// Replaces everything by a snapshot and what follows it, in a slot of its own.
    Slot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The hard state at the time of the write.
        hard: HardState,
        /// The log's entries after the snapshot.
        entries: Vec<Entry>,
    },
}
