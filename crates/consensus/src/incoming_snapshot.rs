//! The recipient's end of one snapshot's transfer: chunks are joined in order, and checked.

use crate::{MemberId, SnapshotChunk};

/// What must agree in all chunks of one snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Source {
    from: MemberId,
    term: u64,
    index: u64,
    snapshot_term: u64,
    total: u64,
    checksum: u32,
}

/// The bytes of one snapshot up to the first that is missing.
#[derive(Clone, Debug, Hash)]
pub(crate) struct IncomingSnapshot {
    source: Source,
    state: Vec<u8>,
}

impl IncomingSnapshot {
    /// Continues the transfer in progress if the chunk is of the same snapshot, or begins a new one.
    pub fn resume(
        in_progress: Option<IncomingSnapshot>,
        from: MemberId,
        chunk: &SnapshotChunk,
    ) -> IncomingSnapshot {
        let source = Source {
            from,
            term: chunk.term,
            index: chunk.index,
            snapshot_term: chunk.snapshot_term,
            total: chunk.total,
            checksum: chunk.checksum,
        };
        let same = in_progress.filter(|incoming| incoming.source == source);
        same.unwrap_or(IncomingSnapshot { source, state: Vec::new() })
    }

    /// Joins the chunk if it is the next one.
    pub fn add(&mut self, chunk: &SnapshotChunk) {
        let missing_bytes = self.source.total - self.received();
        if chunk.offset == self.received() && chunk.bytes.len() as u64 <= missing_bytes {
            self.state.extend_from_slice(&chunk.bytes);
        }
    }

    /// Bytes joined so far.
    pub fn received(&self) -> u64 {
        self.state.len() as u64
    }

    /// Whether nothing is missing.
    pub fn is_complete(&self) -> bool {
        self.received() == self.source.total
    }

    /// The complete state, if it is the one that the sender has.
    pub fn into_state(self) -> Option<Vec<u8>> {
        let is_intact = self.is_complete() && crc32fast::hash(&self.state) == self.source.checksum;
        is_intact.then_some(self.state)
    }
}
