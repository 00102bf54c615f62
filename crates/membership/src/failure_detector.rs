//! Schedules heartbeats to this node's watchers, and detects missing heartbeats of watched nodes.

use crate::ring::{watched, watchers};
use postbarrow_constants::nodes::{RING_HEARTBEAT_MS, RING_TIMEOUT_MS};
use std::collections::BTreeMap;

/// Decides when heartbeats to this node's watchers are due, and which watched nodes are suspected
/// to have failed because their heartbeats are missing.
#[derive(Default)]
pub struct FailureDetector {
    /// Time of each watched node's last heartbeat, or of the start of watching it.
    last_contact_ms: BTreeMap<u64, u64>,
    next_heartbeat_ms: u64,
}

impl FailureDetector {
    /// Returns the nodes to which a heartbeat is to be sent now; none before it is due. For a node
    /// that is newly watched, the time without a heartbeat starts now.
    pub fn tick(&mut self, now_ms: u64, own: u64, nodes: &[u64]) -> Vec<u64> {
        let watched = watched(own, nodes);
        self.last_contact_ms.retain(|node, _| watched.contains(node));
        for node in watched {
            self.last_contact_ms.entry(node).or_insert(now_ms);
        }
        if now_ms < self.next_heartbeat_ms {
            return Vec::new();
        }
        self.next_heartbeat_ms = now_ms + RING_HEARTBEAT_MS;
        watchers(own, nodes)
    }

    /// Records that a heartbeat arrived. A heartbeat of a node that isn't watched is ignored.
    pub fn on_heartbeat(&mut self, now_ms: u64, node: u64) {
        if let Some(last_contact_ms) = self.last_contact_ms.get_mut(&node) {
            *last_contact_ms = now_ms;
        }
    }

    /// Returns the watched nodes whose last heartbeat is more than `RING_TIMEOUT_MS` ago.
    pub fn suspects(&self, now_ms: u64) -> Vec<u64> {
        let is_missing =
            |last_contact_ms: u64| now_ms.saturating_sub(last_contact_ms) > RING_TIMEOUT_MS;
        let missing = self.last_contact_ms.iter().filter(|(_, contact)| is_missing(**contact));
        missing.map(|(node, _)| *node).collect()
    }
}
