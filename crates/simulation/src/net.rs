use crate::random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// Delays, order within a link, and cuts that may be one-way.
#[derive(Default)]
pub struct Net {
    cut: BTreeSet<(IpAddr, IpAddr)>,
    last: BTreeMap<(SocketAddr, SocketAddr), u64>,
    pub slowUs: u64,
    pub lossPerMille: u64,
    /// Machines of other zones are so much farther; a machine's zone is its number's third.
    pub zoneUs: u64,
}

/// Machines are numbered from one in the last part of their address.
fn zone(of: IpAddr) -> u8 {
    match of {
        IpAddr::V4(address) => address.octets()[3].wrapping_sub(1) % 3,
        IpAddr::V6(_) => 0,
    }
}

impl Net {
    /// When a frame arrives, if it does; frames of one link keep their order.
    pub fn arrival(
        &mut self,
        nowUs: u64,
        from: SocketAddr,
        to: SocketAddr,
        random: &mut Random,
    ) -> Option<u64> {
        if self.is_cut(from.ip(), to.ip()) || random.chance(self.lossPerMille) {
            return None;
        }
        let far = if zone(from.ip()) == zone(to.ip()) { 0 } else { self.zoneUs };
        let delayUs = random.between(200, 1_200) + self.slowUs + far;
        let last = self.last.entry((from, to)).or_default();
        let atUs = (nowUs + delayUs).max(*last + 1);
        *last = atUs;
        Some(atUs)
    }

    pub fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        self.cut.contains(&(from, to))
    }

    pub fn cut(&mut self, from: IpAddr, to: IpAddr) {
        self.cut.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.slowUs = 0;
        self.lossPerMille = 0;
    }
}
