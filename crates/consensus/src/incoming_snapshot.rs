//! The recipient's side of a snapshot transfer: chunks are joined in order, and the complete state
//! is checked.

use crate::{MemberId, SnapshotChunk};

/// Values that are equal in all chunks of one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TransferId {
    from: MemberId,
    term: u64,
    index: u64,
    snapshot_term: u64,
    total_bytes: u64,
    checksum: u32,
}

/// A snapshot that is being received, up to its first missing byte.
#[derive(Clone, Debug, Hash)]
pub(crate) struct IncomingSnapshot {
    transfer_id: TransferId,
    state: Vec<u8>,
}

impl IncomingSnapshot {
    /// Continues the transfer in progress if the chunk belongs to it; otherwise begins a new one.
    pub fn resume(
        in_progress: Option<IncomingSnapshot>,
        from: MemberId,
        chunk: &SnapshotChunk,
    ) -> IncomingSnapshot {
        let transfer_id = TransferId {
            from,
            term: chunk.term,
            index: chunk.index,
            snapshot_term: chunk.snapshot_term,
            total_bytes: chunk.total_bytes,
            checksum: chunk.checksum,
        };
        let same_transfer = in_progress.filter(|incoming| incoming.transfer_id == transfer_id);
        same_transfer.unwrap_or(IncomingSnapshot { transfer_id, state: Vec::new() })
    }

    /// Appends the chunk if it begins at the first missing byte and does not exceed the state's
    /// size.
    pub fn append_chunk(&mut self, chunk: &SnapshotChunk) {
        let missing_bytes = self.transfer_id.total_bytes - self.received_bytes();
        if chunk.offset == self.received_bytes() && chunk.bytes.len() as u64 <= missing_bytes {
            self.state.extend_from_slice(&chunk.bytes);
        }
    }

    /// Returns the number of bytes received without a gap.
    pub fn received_bytes(&self) -> u64 {
        self.state.len() as u64
    }

    /// Returns whether all bytes of the state were received.
    pub fn is_complete(&self) -> bool {
        self.received_bytes() == self.transfer_id.total_bytes
    }

    /// Returns the complete state if its checksum equals the one that the sender computed.
    pub fn into_state(self) -> Option<Vec<u8>> {
        let is_intact =
            self.is_complete() && crc32fast::hash(&self.state) == self.transfer_id.checksum;
        is_intact.then_some(self.state)
    }
}
