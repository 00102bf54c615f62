//! The content of snapshots, and snapshots that are still to be encoded.

use crate::{ApplyError, ApplyFailure};
use postbarrow_consensus::Snapshot;
use postbarrow_state::State;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The content of a snapshot, stored in a slot file of the disk as MessagePack, fields by position.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct SnapshotContent {
    pub state: Arc<State>,
    /// Log offset of the last routing update that the state includes.
    pub update_offset: u64,
}

impl SnapshotContent {
    /// Decodes a recovered or received snapshot. One without bytes gives an empty state.
    ///
    /// # Errors
    /// The bytes can't be decoded.
    pub fn decode(snapshot: &Snapshot) -> Result<Self, ApplyFailure> {
        if snapshot.state.is_empty() {
            return Ok(SnapshotContent::default());
        }
        rmp_serde::from_slice(&snapshot.state).map_err(|error| ApplyFailure {
            offset: snapshot.index,
            cause: ApplyError::Snapshot(error.to_string()),
        })
    }
}

/// A committed state that is to be encoded outside the control loop.
#[derive(Debug)]
pub struct PendingSnapshot {
    /// Log index of the last entry that the state includes.
    pub index: u64,
    pub(crate) content: SnapshotContent,
}

impl PendingSnapshot {
    /// Returns the encoded state for `Input::Encoded`.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&self.content).expect("encoding a state into memory succeeds")
    }
}
