//! Entries of the replicated log (thesis, 3.5).

use crate::Member;
use serde::{Deserialize, Serialize};

/// Bytes that every entry counts for in addition to its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Bytes that each member of a configuration counts for in the payload.
const MEMBER_BYTES: usize = 40;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term, without content: once it is committed, so are all entries
    /// before it (thesis, 3.6.2 and 6.4).
    TermStart,
    /// The configuration that applies from this entry on, given as all its voters (thesis, 4.1).
    Members(Vec<Member>),
    /// Bytes that the application proposed, opaque to this crate.
    #[serde(with = "serde_bytes")]
    Batch(Vec<u8>),
}

/// An entry of the log at its position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Content of the entry, which is the application's or the log's own.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry in bytes, in memory and on the wire.
    pub fn size_bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                Payload::TermStart => 0,
                Payload::Members(members) => members.len() * MEMBER_BYTES,
                Payload::Batch(bytes) => bytes.len(),
            }
    }
}
