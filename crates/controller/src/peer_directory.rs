//! The control nodes that this node knows of before a log names its members.

use postbarrow_consensus::{Member, MemberId};
use postbarrow_constants::consensus::{
    DISCOVERED_RETENTION_MS, DISCOVERY_MS, ELECTION_MIN_MS, INTRODUCTION_MS, VOTERS,
};
use postbarrow_constants::nodes::INTRODUCTIONS;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A control node without a log that announced itself.
pub(crate) struct DiscoveredPeer {
    pub member: Member,
    /// Whom it had discovered itself.
    pub known_peers: BTreeSet<MemberId>,
    pub at_ms: u64,
}

/// Addresses that may lead to other control nodes; they are trusted with nothing more.
pub(crate) struct PeerDirectory {
    own: SocketAddr,
    addresses: BTreeSet<SocketAddr>,
    /// The seeds of the settings as they are now.
    seeds: Vec<SocketAddr>,
    discovered: BTreeMap<MemberId, DiscoveredPeer>,
    is_log_known: bool,
    /// Without a lasting disk: only finds the others and forwards requests.
    is_observer: bool,
    /// Addresses of those that bootstrap the log together; none: any three empty disks may.
    founders: Option<BTreeSet<SocketAddr>>,
    announcement_due_ms: u64,
    /// When this member next names the members to its seeds.
    introduction_due_ms: u64,
    /// When a leader was last known.
    leader_known_ms: u64,
}

impl PeerDirectory {
    pub fn new(seeds: &[SocketAddr], own: SocketAddr) -> Self {
        let addresses = seeds.iter().copied().filter(|seed| *seed != own).collect();
        PeerDirectory {
            own,
            addresses,
            seeds: seeds.to_vec(),
            discovered: BTreeMap::new(),
            is_log_known: false,
            is_observer: false,
            founders: None,
            announcement_due_ms: 0,
            introduction_due_ms: 0,
            leader_known_ms: 0,
        }
    }

    pub fn set_founders(&mut self, founders: &[SocketAddr]) {
        self.founders = Some(founders.iter().copied().collect());
    }

    pub fn set_observer(&mut self) {
        self.is_observer = true;
    }

    pub fn is_observer(&self) -> bool {
        self.is_observer
    }

    pub fn on_log_known(&mut self) {
        self.is_log_known = true;
    }

    pub fn is_log_known(&self) -> bool {
        self.is_log_known
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().copied().collect()
    }

    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.introduction_due_ms = 0;
        seeds.iter().for_each(|seed| self.add(*seed));
    }

    pub fn add(&mut self, address: SocketAddr) {
        if address != self.own && self.addresses.len() < INTRODUCTIONS {
            self.addresses.insert(address);
        }
    }

    pub fn on_leader_known(&mut self, now_ms: u64) {
        self.leader_known_ms = now_ms;
    }

    /// Without a leader for longer than elections take.
    pub fn is_leaderless(&self, now_ms: u64) -> bool {
        now_ms > self.leader_known_ms + 3 * ELECTION_MIN_MS
    }

    pub fn is_announcement_due(&self, now_ms: u64) -> bool {
        now_ms >= self.announcement_due_ms
    }

    pub fn schedule_announcement(&mut self, now_ms: u64) {
        self.announcement_due_ms = now_ms + DISCOVERY_MS;
    }

    /// Whether the members are to be named to the seeds; true once in each interval.
    pub fn take_due_introduction(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.introduction_due_ms;
        if is_due {
            self.introduction_due_ms = now_ms + INTRODUCTION_MS;
        }
        is_due
    }

    pub fn on_discovered(&mut self, peer: DiscoveredPeer) {
        self.discovered.insert(peer.member.id, peer);
    }

    /// Drops the peers that have not announced themselves for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.discovered.retain(|_, peer| now_ms < peer.at_ms + DISCOVERED_RETENTION_MS);
    }

    /// This node and all that it has discovered.
    pub fn known_peers(&self, own: MemberId) -> BTreeSet<MemberId> {
        self.discovered.keys().copied().chain([own]).collect()
    }

    /// The members of a new log, in their order, if this node is to bootstrap it: the one with the
    /// lowest id does, once all founders discovered each other and nobody reached knows of a log.
    /// Without founders, any three empty disks that discovered the same three are.
    pub fn bootstrap_members(&self, own: Member) -> Option<Vec<Member>> {
        let peers = self.discovered.values();
        let (ids, wanted): (BTreeSet<MemberId>, usize) = match &self.founders {
            None => (self.known_peers(own.id), VOTERS),
            Some(founders) if !founders.contains(&own.address) => return None,
            Some(founders) => {
                let present = peers.clone().filter(|peer| founders.contains(&peer.member.address));
                let ids = present.map(|peer| peer.member.id).chain([own.id]);
                (ids.collect(), founders.len())
            }
        };
        let mut others = peers.clone().filter(|peer| ids.contains(&peer.member.id));
        let agree = match self.founders {
            None => others.all(|peer| peer.known_peers == ids),
            Some(_) => others.all(|peer| peer.known_peers.is_superset(&ids)),
        };
        let is_lowest = ids.first() == Some(&own.id);
        if self.is_log_known || ids.len() != wanted || !agree || !is_lowest {
            return None;
        }
        let members = peers.map(|peer| peer.member).filter(|member| ids.contains(&member.id));
        let mut members: Vec<Member> = members.chain([own]).collect();
        members.sort_unstable();
        Some(members)
    }
}
