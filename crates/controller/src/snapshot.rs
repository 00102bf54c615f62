//! The content of a snapshot, and a snapshot that waits to be encoded.

use postbarrow_consensus::Snapshot;
use postbarrow_state::State;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a slot stores: MessagePack, fields by position.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct SnapshotContent {
    pub state: Arc<State>,
    /// Log offset of the last routing update within the state.
    pub update_offset: u64,
}

impl SnapshotContent {
    /// The content of a recovered or received snapshot.
    ///
    /// # Panics
    /// On bytes that are no snapshot: their checksums were right, so they are of another format.
    pub fn decode(snapshot: &Snapshot) -> Self {
        if snapshot.state.is_empty() {
            return SnapshotContent::default();
        }
        rmp_serde::from_slice(&snapshot.state)
            .unwrap_or_else(|error| panic!("snapshot {}: {error}", snapshot.index))
    }
}

/// A committed state taken out to be encoded beside the control loop.
#[derive(Debug)]
pub struct PendingSnapshot {
    /// The log index up to which the state holds every entry.
    pub index: u64,
    pub(crate) content: SnapshotContent,
}

impl PendingSnapshot {
    /// The bytes for `Input::Encoded`.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&self.content).expect("a state encodes into memory")
    }
}
