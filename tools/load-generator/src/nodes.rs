//! The data nodes and their readiness.

use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tools_shared::client_config;
use ureq::Agent;

/// How long a node may take to report its readiness.
const READINESS_TIMEOUT: Duration = Duration::from_millis(300);

struct Node {
    zone: String,
    address: String,
    ready: AtomicBool,
}

/// Stands in for the platform: clients' connections are spread over the ready nodes of their zone.
pub struct Nodes {
    nodes: Vec<Node>,
    zones: RwLock<Vec<String>>,
    turn: AtomicUsize,
}

impl Nodes {
    /// Reads a file of lines with a zone and an address each; no node counts as ready yet.
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
        Ok(Nodes { nodes, zones: RwLock::new(zones), turn: AtomicUsize::new(0) })
    }

    /// Polls the nodes' readiness until the run has ended.
    pub fn watch(&self, run_ended: &AtomicBool) {
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

    /// Returns shortly after the first node became ready.
    pub fn wait_ready(&self) {
        while !self.nodes.iter().any(|node| node.ready.load(Relaxed)) {
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(300));
    }

    /// A ready node of a zone drawn by `seed`; of another zone when its own has none.
    pub fn pick(&self, seed: u64) -> Option<&str> {
        let zones = self.zones.read().ok()?;
        let zone = &zones[seed as usize % zones.len()];
        let ready = |node: &&Node| node.ready.load(Relaxed);
        let near: Vec<&Node> =
            self.nodes.iter().filter(ready).filter(|node| node.zone == *zone).collect();
        let all: Vec<&Node> = match near.is_empty() {
            true => self.nodes.iter().filter(ready).collect(),
            false => near,
        };
        let turn = self.turn.fetch_add(1, Relaxed);
        all.get(turn % all.len().max(1)).map(|node| node.address.as_str())
    }
}
