//! The network between machines: delays, loss, partitions, and the order of frames on each link.

use crate::random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// The state of the network. A partition loses the frames of one direction.
#[derive(Default)]
pub struct Network {
    /// Pairs of sender and receiver between which all frames are lost.
    partitions: BTreeSet<(IpAddr, IpAddr)>,
    /// Arrival time of the newest frame on each link, in microseconds.
    last_arrivals_us: BTreeMap<(SocketAddr, SocketAddr), u64>,
    /// Additional delay of every frame, in microseconds.
    pub slow_us: u64,
    /// Probability that a frame is lost, in thousandths.
    pub loss_per_mille: u64,
    /// Additional delay of a frame between two zones, in microseconds. A machine's zone is the last
    /// octet of its address minus one, modulo three.
    pub zone_us: u64,
}

/// Returns the zone of the machine at this address; machines are numbered from one in the last
/// octet.
fn zone(of: IpAddr) -> u8 {
    match of {
        IpAddr::V4(address) => address.octets()[3].wrapping_sub(1) % 3,
        IpAddr::V6(_) => 0,
    }
}

impl Network {
    /// Returns when a frame sent now arrives, in microseconds, or `None` if it is lost; frames of
    /// one link keep their order.
    pub fn arrival(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        to: SocketAddr,
        random: &mut Random,
    ) -> Option<u64> {
        if self.is_partitioned(from.ip(), to.ip()) || random.chance(self.loss_per_mille) {
            return None;
        }
        let zone_delay_us = if zone(from.ip()) == zone(to.ip()) { 0 } else { self.zone_us };
        let delay_us = random.between(200, 1_200) + self.slow_us + zone_delay_us;
        let last_us = self.last_arrivals_us.entry((from, to)).or_default();
        let at_us = (now_us + delay_us).max(*last_us + 1);
        *last_us = at_us;
        Some(at_us)
    }

    /// Returns whether a partition loses the frames from `from` to `to`.
    pub fn is_partitioned(&self, from: IpAddr, to: IpAddr) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Loses all frames from `from` to `to` until the network is healed.
    pub fn partition(&mut self, from: IpAddr, to: IpAddr) {
        self.partitions.insert((from, to));
    }

    /// Ends partitions, loss and the additional delay of every frame; the delay between zones
    /// stays.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.slow_us = 0;
        self.loss_per_mille = 0;
    }
}

/// Returns the address of the machine of index `at` in a subnet: 1 for control machines, 2 for data
/// machines, 3 for operators, 4 for targets, 5 for a row that a fault adds to the endpoint list.
pub fn address(subnet: u8, at: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, subnet, (at / 250) as u8, (at % 250) as u8 + 1], port))
}
