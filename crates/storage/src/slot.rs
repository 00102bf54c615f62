//! The format of a slot: magic, length, CRC-32 and a MessagePack body, integers little-endian.

use postbarrow_consensus::{HardState, MemberId, RecoveredState, Snapshot};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;

const MAGIC: &[u8; 8] = b"PBSLOT01";
const HEADER_BYTES: usize = 20;

/// The body of a slot: the member's id, and its state when the slot was written.
#[derive(Serialize, Deserialize)]
pub(crate) struct SlotBody {
    pub generation: u64,
    pub id: MemberId,
    pub hard_state: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
}

impl SlotBody {
    /// Returns the member's state before any record of the log that follows this slot.
    pub fn recovered(&self) -> RecoveredState {
        RecoveredState {
            term: self.hard_state.term,
            voted_for: self.hard_state.voted_for,
            snapshot: self.snapshot.clone(),
            entries: Vec::new(),
        }
    }
}

pub(crate) fn encode_slot(body: &SlotBody) -> io::Result<Vec<u8>> {
    let body = rmp_serde::to_vec(body).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(body.len() + HEADER_BYTES);
    bytes.extend(MAGIC);
    bytes.extend((body.len() as u64).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// Returns the body of a slot, or `None` unless the slot is complete and intact.
pub(crate) fn decode_slot(bytes: &[u8]) -> Option<SlotBody> {
    if bytes.get(..8)? != MAGIC {
        return None;
    }
    let length = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?);
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}
