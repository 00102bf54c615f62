//! Partitions of the network, each for a while.

use crate::deployment::CONTROL_NODES;
use crate::error::FleetError;
use crate::fleet::Fleet;
use crate::process::Process;
use crate::relay::Link;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// How long a partition lasts, before it heals by itself.
const PARTITION_MS: u64 = 4_000;

/// Where others reach this process.
fn advertised(process: &Process) -> Option<SocketAddr> {
    process.option("--address")?.parse().ok()
}

fn both_directions(one: SocketAddr, other: SocketAddr) -> [Link; 2] {
    [(one, other), (other, one)]
}

impl Fleet {
    /// Where a control node is reached.
    ///
    /// # Errors
    /// When there is none with this position.
    pub fn control_address(&self, at: usize) -> Result<SocketAddr, FleetError> {
        self.control.get(at).and_then(advertised).ok_or(FleetError::NoSuch("machine"))
    }

    /// These links carry nothing until the partition heals.
    fn partition(&self, links: BTreeSet<Link>) -> Result<(), FleetError> {
        if links.is_empty() {
            return Err(FleetError::NoLink);
        }
        self.relays.change_rules(|rules| rules.cut.extend(links));
        sleep(Duration::from_millis(PARTITION_MS));
        self.relays.change_rules(|rules| {
            rules.cut.clear();
            rules.unreachable.clear();
        });
        Ok(())
    }

    /// The links between these nodes and all others.
    fn links_around(&self, inside: &[SocketAddr]) -> BTreeSet<Link> {
        let all = self.control.iter().chain(&self.data).filter_map(advertised);
        all.filter(|other| !inside.contains(other))
            .flat_map(|other| inside.iter().flat_map(move |one| both_directions(*one, other)))
            .collect()
    }

    /// Separates one control node from the two others; data nodes reach all three.
    ///
    /// # Errors
    /// When there is no such node.
    pub fn partition_control(&self, at: usize) -> Result<(), FleetError> {
        let one = self.control_address(at)?;
        let all = (0..CONTROL_NODES).filter_map(|at| self.control_address(at).ok());
        let others = all.filter(|other| *other != one);
        self.partition(others.flat_map(|other| both_directions(one, other)).collect())
    }

    /// Separates one control node from all nodes.
    ///
    /// # Errors
    /// When there is no such node.
    pub fn isolate_control(&self, at: usize) -> Result<(), FleetError> {
        let one = self.control_address(at)?;
        self.partition(self.links_around(&[one]))
    }

    /// Separates one data node from all nodes.
    ///
    /// # Errors
    /// When there is no such node.
    pub fn isolate_data(&self, at: usize) -> Result<(), FleetError> {
        let process = &self.data[at % self.data.len()];
        let one = advertised(process).ok_or(FleetError::NoSuch("node"))?;
        self.partition(self.links_around(&[one]))
    }

    /// What one control node sends does not reach another; the opposite direction works.
    ///
    /// # Errors
    /// When there is no such node.
    pub fn partition_one_direction(&self, at: usize) -> Result<(), FleetError> {
        let from = self.control_address(at % CONTROL_NODES)?;
        let to = self.control_address((at + 1) % CONTROL_NODES)?;
        self.partition([(from, to)].into())
    }

    /// Separates a zone with its control node, its data nodes and its targets.
    ///
    /// # Errors
    /// When the zone has no targets.
    pub fn isolate_zone(&self, zone: &str) -> Result<(), FleetError> {
        let mut inside = Vec::new();
        self.relays.change_rules(|rules| {
            let here = rules.zones.iter().filter(|(_, known)| *known == zone);
            inside.extend(here.map(|(address, _)| *address));
        });
        let rows = self.list.rows.values().filter(|row| row.zone == zone);
        let targets: Vec<SocketAddr> = rows.filter_map(|row| row.address.parse().ok()).collect();
        if targets.is_empty() {
            return Err(FleetError::ZoneWithoutTargets(zone.into()));
        }
        self.relays.change_rules(|rules| rules.unreachable.extend(targets));
        self.partition(self.links_around(&inside))
    }
}
