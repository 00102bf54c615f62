//! Network partitions between nodes, each of which heals after a fixed time.

use crate::deployment::CONTROL_NODES;
use crate::error::FleetError;
use crate::fleet::Fleet;
use crate::process::Process;
use crate::relay::Link;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// Duration of a partition, in milliseconds.
const PARTITION_MS: u64 = 4_000;

/// Returns the address that a process advertises; `None` if its arguments contain no valid one.
fn advertised(process: &Process) -> Option<SocketAddr> {
    process.option("--address")?.parse().ok()
}

fn both_directions(node: SocketAddr, other: SocketAddr) -> [Link; 2] {
    [(node, other), (other, node)]
}

impl Fleet {
    /// Returns the advertised address of the control node at this index.
    ///
    /// # Errors
    /// When no control node has this index, or it advertises no valid address.
    pub fn control_address(&self, index: usize) -> Result<SocketAddr, FleetError> {
        self.control
            .get(index)
            .and_then(advertised)
            .ok_or(FleetError::MissingProcess("control node"))
    }

    /// Cuts these links for `PARTITION_MS`, then restores them and makes all unreachable targets
    /// reachable again.
    fn partition(&self, links: BTreeSet<Link>) -> Result<(), FleetError> {
        if links.is_empty() {
            return Err(FleetError::NoLink);
        }
        self.relays.change_rules(|rules| rules.dropped_links.extend(links));
        sleep(Duration::from_millis(PARTITION_MS));
        self.relays.change_rules(|rules| {
            rules.dropped_links.clear();
            rules.isolated_targets.clear();
        });
        Ok(())
    }

    /// Returns the links, in both directions, between these nodes and all others.
    fn links_around(&self, separated: &[SocketAddr]) -> BTreeSet<Link> {
        let all = self.control.iter().chain(&self.data).filter_map(advertised);
        all.filter(|other| !separated.contains(other))
            .flat_map(|other| separated.iter().flat_map(move |node| both_directions(*node, other)))
            .collect()
    }

    /// Separates one control node from the two others; data nodes reach all three.
    ///
    /// # Errors
    /// When no control node has this index.
    pub fn partition_control(&self, index: usize) -> Result<(), FleetError> {
        let node = self.control_address(index)?;
        let all = (0..CONTROL_NODES).filter_map(|index| self.control_address(index).ok());
        let others = all.filter(|other| *other != node);
        self.partition(others.flat_map(|other| both_directions(node, other)).collect())
    }

    /// Separates one control node from all other nodes.
    ///
    /// # Errors
    /// When no control node has this index.
    pub fn isolate_control(&self, index: usize) -> Result<(), FleetError> {
        let node = self.control_address(index)?;
        self.partition(self.links_around(&[node]))
    }

    /// Separates one data node from all other nodes.
    ///
    /// # Errors
    /// When the data node advertises no valid address.
    pub fn isolate_data(&self, index: usize) -> Result<(), FleetError> {
        let process = &self.data[index % self.data.len()];
        let node = advertised(process).ok_or(FleetError::MissingProcess("data node"))?;
        self.partition(self.links_around(&[node]))
    }

    /// Drops the messages from one control node to the next; the opposite direction works.
    ///
    /// # Errors
    /// When one of the two control nodes is missing.
    pub fn partition_one_direction(&self, index: usize) -> Result<(), FleetError> {
        let from = self.control_address(index % CONTROL_NODES)?;
        let to = self.control_address((index + 1) % CONTROL_NODES)?;
        self.partition([(from, to)].into())
    }

    /// Separates a zone from the others, with its control node, its data nodes and its targets.
    ///
    /// # Errors
    /// When the zone has no targets.
    pub fn isolate_zone(&self, zone: &str) -> Result<(), FleetError> {
        let mut separated = Vec::new();
        self.relays.change_rules(|rules| {
            let in_zone = rules.zones.iter().filter(|(_, other)| *other == zone);
            separated.extend(in_zone.map(|(address, _)| *address));
        });
        let rows = self.list.rows.values().filter(|row| row.zone == zone);
        let targets: Vec<SocketAddr> = rows.filter_map(|row| row.address.parse().ok()).collect();
        if targets.is_empty() {
            return Err(FleetError::ZoneWithoutTargets(zone.into()));
        }
        self.relays.change_rules(|rules| rules.isolated_targets.extend(targets));
        self.partition(self.links_around(&separated))
    }
}
