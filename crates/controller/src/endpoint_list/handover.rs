//! What a leader that stops sends its successor of the endpoint list.

use postbarrow_constants::consensus::HANDOVER_RETENTION_MS;
use postbarrow_state::Name;
use serde::{Deserialize, Serialize};

/// The last scan and the poll rate. MessagePack, fields by position.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ScanHandover {
    /// How long ago the last complete scan ended.
    pub completed_age_ms: Option<u64>,
    /// Its rows, in their order.
    pub order: Vec<Name>,
    /// Its cursors, page by page.
    pub cursors: Vec<Option<String>>,
    pub gap_ms: u64,
    /// How long ago each request of the list's last window was sent.
    pub recent_request_ages_ms: Vec<u64>,
}

impl ScanHandover {
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }
}

/// A handover and when it arrived.
pub(crate) struct ReceivedHandover {
    pub at_ms: u64,
    pub scan: ScanHandover,
}

impl ReceivedHandover {
    /// None where the bytes are of another release. They were under way for `late_ms` longer than
    /// usual.
    pub fn decode(now_ms: u64, bytes: &[u8], late_ms: u64) -> Option<Self> {
        let mut scan: ScanHandover = rmp_serde::from_slice(bytes).ok()?;
        scan.completed_age_ms = scan.completed_age_ms.map(|age_ms| age_ms + late_ms);
        Some(ReceivedHandover { at_ms: now_ms, scan })
    }

    /// What the former leader knew is used only shortly after it was sent.
    pub fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + HANDOVER_RETENTION_MS
    }
}
