//! The state of the endpoint-list scan that a leader hands over to its successor when it transfers
//! its leadership.

use postbarrow_constants::consensus::HANDOVER_RETENTION_MS;
use postbarrow_state::Name;
use serde::{Deserialize, Serialize};

/// The last scan and the poll rate of the former leader. Encoded as MessagePack, fields by
/// position.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ScanHandover {
    /// How long ago the last complete scan ended, in milliseconds; `None` if there was none.
    pub completed_age_ms: Option<u64>,
    /// Instances of that scan's rows, in their order.
    pub order: Vec<Name>,
    /// Cursors of that scan's pages, in their order; `None` for the first page.
    pub cursors: Vec<Option<String>>,
    /// Minimum time between two requests for pages, in milliseconds.
    pub gap_ms: u64,
    /// How long ago each request within the list's last window was sent, in milliseconds, oldest
    /// first.
    pub recent_request_ages_ms: Vec<u64>,
}

impl ScanHandover {
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }
}

/// A handover with the time of its arrival.
pub(crate) struct ReceivedHandover {
    pub at_ms: u64,
    pub scan: ScanHandover,
}

impl ReceivedHandover {
    /// Decodes a handover. `late_ms` is by how much its transfer took longer than usual, and is
    /// added to the age of the scan. Returns `None` if the bytes can't be decoded, as from a
    /// process of another release.
    pub fn decode(now_ms: u64, bytes: &[u8], late_ms: u64) -> Option<Self> {
        let mut scan: ScanHandover = rmp_serde::from_slice(bytes).ok()?;
        scan.completed_age_ms = scan.completed_age_ms.map(|age_ms| age_ms + late_ms);
        Some(ReceivedHandover { at_ms: now_ms, scan })
    }

    /// Returns whether the handover is recent enough to be used: younger than
    /// `HANDOVER_RETENTION_MS`.
    pub fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + HANDOVER_RETENTION_MS
    }
}
