//! Entries of the replicated log (thesis, 3.5).

use crate::Member;
use serde::{Deserialize, Serialize};

/// Bytes that an entry counts for beside its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Bytes that one member of a configuration counts for.
const MEMBER_BYTES: usize = 40;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term: once it is committed, so is everything before it (thesis,
    /// 3.6.2 and 6.4).
    TermStart,
    /// The configuration from this entry on: all voters (thesis, 4.1).
    Members(Vec<Member>),
    /// Bytes of the application.
    #[serde(with = "serde_bytes")]
    Batch(Vec<u8>),
}

/// One position of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, in memory and on the wire.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                Payload::TermStart => 0,
                Payload::Members(members) => members.len() * MEMBER_BYTES,
                Payload::Batch(bytes) => bytes.len(),
            }
    }
}
