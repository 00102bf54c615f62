use crate::ring::{watched, watchers};
use postbarrow_constants::nodes::{RING_BEAT_MS, RING_SILENT_MS};
use std::collections::BTreeMap;

/// Heartbeats out to this node's watchers, and silence of those it watches.
#[derive(Default)]
pub struct Watch {
    heardMs: BTreeMap<u64, u64>,
    beatDueMs: u64,
}

impl Watch {
    /// Whom to send a heartbeat now, if one is due.
    pub fn pulse(&mut self, nowMs: u64, own: u64, nodes: &[u64]) -> Vec<u64> {
        let watched = watched(own, nodes);
        self.heardMs.retain(|node, _| watched.contains(node));
        for node in watched {
            self.heardMs.entry(node).or_insert(nowMs);
        }
        if nowMs < self.beatDueMs {
            return Vec::new();
        }
        self.beatDueMs = nowMs + RING_BEAT_MS;
        watchers(own, nodes)
    }

    pub fn heard(&mut self, nowMs: u64, node: u64) {
        if let Some(heardMs) = self.heardMs.get_mut(&node) {
            *heardMs = nowMs;
        }
    }

    pub fn suspects(&self, nowMs: u64) -> Vec<u64> {
        let silent = |heardMs: u64| nowMs.saturating_sub(heardMs) > RING_SILENT_MS;
        self.heardMs.iter().filter(|(_, heard)| silent(**heard)).map(|(node, _)| *node).collect()
    }
}
