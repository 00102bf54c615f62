//! State that a member has on disk (thesis, 3.8), and the writes that change it.

use crate::{Entry, Member, MemberId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A member's term and vote. They are on disk before a message of that term grants or acknowledges
/// anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that this member took part in.
    pub term: u64,
    /// Candidate that received this member's vote in `term`; absent if none did.
    pub voted_for: Option<MemberId>,
}

/// The application's state after all entries up to an index (thesis, chapter 5).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Voters of the configuration that applies at `index`.
    pub members: Vec<Member>,
    /// Encoded state of the application, opaque to this crate.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// State that the disk returned at the start of the process; all of it is empty for a new disk.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Term of the last hard state, or zero.
    pub term: u64,
    /// Candidate voted for in the last hard state; absent without a vote or a hard state.
    pub voted_for: Option<MemberId>,
    /// The newest complete snapshot on the disk.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}

/// One write to the disk. Writes are applied in the order of their sequence numbers.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Write {
    /// Replaces the hard state.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Removes all entries of the log from an index on.
    Truncate {
        /// Index of the first entry to remove.
        from: u64,
    },
    /// Replaces everything on the disk by a snapshot, the hard state and the entries after the
    /// snapshot. The previous state stays on the disk until the new one is synced.
    Slot {
        /// The newest snapshot, complete.
        snapshot: Arc<Snapshot>,
        /// The hard state at the time of the write.
        hard: HardState,
        /// The log's entries after the snapshot.
        entries: Vec<Entry>,
    },
}
