//! The data nodes, their readiness, and the choice of a node for each connection.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tools_shared::client_config;
use ureq::Agent;

/// Timeout of a request for a node's readiness.
const READINESS_TIMEOUT: Duration = Duration::from_millis(300);

struct Node {
    zone: String,
    address: String,
    ready: AtomicBool,
}

/// The data nodes. As the platform does, they spread clients' connections over the ready nodes of
/// the client's zone.
pub struct Nodes {
    nodes: Vec<Node>,
    zones: RwLock<Vec<String>>,
    /// The number of picks so far, by which picks take the nodes of a zone in turn.
    round_robin: AtomicUsize,
}

impl Nodes {
    /// Reads the nodes from a file with a zone and an address on each line; no node counts as ready
    /// before its first poll.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn read(file: &str) -> std::io::Result<Nodes> {
        let text = std::fs::read_to_string(file)?;
        let nodes: Vec<Node> = text
            .lines()
            .filter_map(|line| line.split_once(' '))
            .map(|(zone, address)| Node {
                zone: zone.into(),
                address: address.trim().into(),
                ready: AtomicBool::new(false),
            })
            .collect();
        let mut zones: Vec<String> = nodes.iter().map(|node| node.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        Ok(Nodes { nodes, zones: RwLock::new(zones), round_robin: AtomicUsize::new(0) })
    }

    /// Polls the nodes' readiness until the run has ended.
    pub fn poll_readiness(&self, run_ended: &AtomicBool) {
        let config = client_config(READINESS_TIMEOUT).build();
        while !run_ended.load(Relaxed) {
            std::thread::scope(|scope| {
                for node in &self.nodes {
                    let agent = Agent::new_with_config(config.clone());
                    scope.spawn(move || {
                        let polled = agent.get(format!("http://{}/ready", node.address)).call();
                        let ready = polled.is_ok_and(|response| response.status() == 200);
                        node.ready.store(ready, Relaxed);
                    });
                }
            });
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Waits until a node is ready, and 300 ms more.
    pub fn wait_ready(&self) {
        while !self.nodes.iter().any(|node| node.ready.load(Relaxed)) {
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(300));
    }

    /// Returns the address of a ready node in the zone that `seed` decides, or in any zone if that
    /// zone has no ready node; `None` if no node is ready.
    pub fn pick(&self, seed: u64) -> Option<&str> {
        let zones = self.zones.read().ok()?;
        let zone = &zones[seed as usize % zones.len()];
        let is_ready = |node: &&Node| node.ready.load(Relaxed);
        let in_zone: Vec<&Node> =
            self.nodes.iter().filter(is_ready).filter(|node| node.zone == *zone).collect();
        let candidates: Vec<&Node> = match in_zone.is_empty() {
            true => self.nodes.iter().filter(is_ready).collect(),
            false => in_zone,
        };
        let round_robin = self.round_robin.fetch_add(1, Relaxed);
        candidates.get(round_robin % candidates.len().max(1)).map(|node| node.address.as_str())
    }
}
