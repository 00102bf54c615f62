use crate::ring::{watched, watchers};
use postbarrow_constants::nodes::{RING_HEARTBEAT_MS, RING_TIMEOUT_MS};
use std::collections::BTreeMap;

/// Heartbeats out to this node's watchers, and silence of those it watches.
#[derive(Default)]
pub struct FailureDetector {
    heard_ms: BTreeMap<u64, u64>,
    beat_due_ms: u64,
}

impl FailureDetector {
    /// Whom to send a heartbeat now, if one is due.
    pub fn tick(&mut self, now_ms: u64, own: u64, nodes: &[u64]) -> Vec<u64> {
        let watched = watched(own, nodes);
        self.heard_ms.retain(|node, _| watched.contains(node));
        for node in watched {
            self.heard_ms.entry(node).or_insert(now_ms);
        }
        if now_ms < self.beat_due_ms {
            return Vec::new();
        }
        self.beat_due_ms = now_ms + RING_HEARTBEAT_MS;
        watchers(own, nodes)
    }

    pub fn on_heartbeat(&mut self, now_ms: u64, node: u64) {
        if let Some(heard_ms) = self.heard_ms.get_mut(&node) {
            *heard_ms = now_ms;
        }
    }

    pub fn suspects(&self, now_ms: u64) -> Vec<u64> {
        let silent = |heard_ms: u64| now_ms.saturating_sub(heard_ms) > RING_TIMEOUT_MS;
        self.heard_ms.iter().filter(|(_, heard)| silent(**heard)).map(|(node, _)| *node).collect()
    }
}
