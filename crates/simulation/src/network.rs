//! The network between machines: delays, loss, partitions, and order within each link.

use crate::random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// Delays, order within a link, and partitions that may be one-way.
#[derive(Default)]
pub struct Network {
    partitions: BTreeSet<(IpAddr, IpAddr)>,
    last: BTreeMap<(SocketAddr, SocketAddr), u64>,
    /// Added delay of every frame, in microseconds.
    pub slow_us: u64,
    /// Of a thousand frames, how many are lost.
    pub loss_per_mille: u64,
    /// Added delay between zones, in microseconds; a machine's zone is its number modulo three.
    pub zone_us: u64,
}

/// Machines are numbered from one in the last octet of their address.
fn zone(of: IpAddr) -> u8 {
    match of {
        IpAddr::V4(address) => address.octets()[3].wrapping_sub(1) % 3,
        IpAddr::V6(_) => 0,
    }
}

impl Network {
    /// When a frame arrives, if it does; frames of one link keep their order.
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
        let far = if zone(from.ip()) == zone(to.ip()) { 0 } else { self.zone_us };
        let delay_us = random.between(200, 1_200) + self.slow_us + far;
        let last = self.last.entry((from, to)).or_default();
        let at_us = (now_us + delay_us).max(*last + 1);
        *last = at_us;
        Some(at_us)
    }

    /// Whether frames in this direction are lost.
    pub fn is_partitioned(&self, from: IpAddr, to: IpAddr) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Loses all frames in this direction from now on.
    pub fn partition(&mut self, from: IpAddr, to: IpAddr) {
        self.partitions.insert((from, to));
    }

    /// Ends partitions, loss and added delay.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.slow_us = 0;
        self.loss_per_mille = 0;
    }
}

/// The address of machine `at` in a subnet: 1 control, 2 data, 3 operators, 4 targets.
pub fn address(subnet: u8, at: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, subnet, (at / 250) as u8, (at % 250) as u8 + 1], port))
}
