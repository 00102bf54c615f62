//! Heartbeats to this node's watchers, and missing heartbeats of the nodes that it watches.

use crate::ring::{watched, watchers};
use postbarrow_constants::nodes::{RING_HEARTBEAT_MS, RING_TIMEOUT_MS};
use std::collections::BTreeMap;

/// Sends heartbeats to this node's watchers, and suspects the nodes that it watches and that send
/// none.
#[derive(Default)]
pub struct FailureDetector {
    /// By watched node.
    last_contact_ms: BTreeMap<u64, u64>,
    next_heartbeat_ms: u64,
}

impl FailureDetector {
    /// The nodes to send a heartbeat to now; none before it is due. A node that is watched from
    /// now on counts as in contact now.
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

    /// A heartbeat arrived; one of a node that isn't watched is ignored.
    pub fn on_heartbeat(&mut self, now_ms: u64, node: u64) {
        if let Some(last_contact_ms) = self.last_contact_ms.get_mut(&node) {
            *last_contact_ms = now_ms;
        }
    }

    /// The watched nodes whose last heartbeat is more than `RING_TIMEOUT_MS` ago.
    pub fn suspects(&self, now_ms: u64) -> Vec<u64> {
        let is_missing =
            |last_contact_ms: u64| now_ms.saturating_sub(last_contact_ms) > RING_TIMEOUT_MS;
        let missing = self.last_contact_ms.iter().filter(|(_, contact)| is_missing(**contact));
        missing.map(|(node, _)| *node).collect()
    }
}
