//! The control nodes that this node knows independently of the log's list of members: from its
//! settings, introductions and announcements.

use postbarrow_consensus::{Member, MemberId};
use postbarrow_constants::consensus::{
    DISCOVERED_RETENTION_MS, DISCOVERY_MS, ELECTION_MIN_MS, INTRODUCTION_MS, VOTERS,
};
use postbarrow_constants::nodes::INTRODUCTIONS_MAX;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An uninitialized control node that announced itself to this node.
pub(crate) struct DiscoveredPeer {
    pub member: Member,
    /// Ids of the uninitialized nodes that the peer had discovered, including itself.
    pub known_peers: BTreeSet<MemberId>,
    /// When the peer's last announcement arrived.
    pub at_ms: u64,
}

/// Addresses and announcements of other control nodes. The addresses serve only to find
/// other control nodes, and are not trusted otherwise.
pub(crate) struct PeerDirectory {
    own_address: SocketAddr,
    /// Addresses to contact in search of other control nodes, without this node's own.
    addresses: BTreeSet<SocketAddr>,
    /// Seed addresses in the current settings.
    seeds: Vec<SocketAddr>,
    discovered: BTreeMap<MemberId, DiscoveredPeer>,
    /// Whether a log is known to exist, so that this node must not bootstrap another.
    is_log_known: bool,
    /// Whether this node has no durable disk: it is never a member, and only finds other control
    /// nodes and forwards requests to them.
    is_observer: bool,
    /// Addresses of the nodes that bootstrap the log together; `None` if any three nodes with
    /// uninitialized disks may.
    bootstrap_addresses: Option<BTreeSet<SocketAddr>>,
    /// When this node next announces itself.
    announcement_due_ms: u64,
    /// When this node, as a member, next sends the list of members to its seeds.
    introduction_due_ms: u64,
    /// When this node last knew a leader.
    leader_known_ms: u64,
}

impl PeerDirectory {
    pub fn new(seeds: &[SocketAddr], own_address: SocketAddr) -> Self {
        let addresses = seeds.iter().copied().filter(|seed| *seed != own_address).collect();
        PeerDirectory {
            own_address,
            addresses,
            seeds: seeds.to_vec(),
            discovered: BTreeMap::new(),
            is_log_known: false,
            is_observer: false,
            bootstrap_addresses: None,
            announcement_due_ms: 0,
            introduction_due_ms: 0,
            leader_known_ms: 0,
        }
    }

    pub fn set_bootstrap_addresses(&mut self, addresses: &[SocketAddr]) {
        self.bootstrap_addresses = Some(addresses.iter().copied().collect());
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
        if address != self.own_address && self.addresses.len() < INTRODUCTIONS_MAX {
            self.addresses.insert(address);
        }
    }

    pub fn on_leader_known(&mut self, now_ms: u64) {
        self.leader_known_ms = now_ms;
    }

    /// Returns whether no leader has been known for longer than elections take.
    pub fn is_leaderless(&self, now_ms: u64) -> bool {
        now_ms > self.leader_known_ms + 3 * ELECTION_MIN_MS
    }

    pub fn is_announcement_due(&self, now_ms: u64) -> bool {
        now_ms >= self.announcement_due_ms
    }

    pub fn schedule_announcement(&mut self, now_ms: u64) {
        self.announcement_due_ms = now_ms + DISCOVERY_MS;
    }

    /// Returns whether the list of members is to be sent to the seeds now, and schedules the next
    /// time if so.
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

    /// Removes the peers that have not announced themselves for `DISCOVERED_RETENTION_MS`.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.discovered.retain(|_, peer| now_ms < peer.at_ms + DISCOVERED_RETENTION_MS);
    }

    /// Returns the ids of this node and of all peers that it has discovered.
    pub fn known_peers(&self, own: MemberId) -> BTreeSet<MemberId> {
        self.discovered.keys().copied().chain([own]).collect()
    }

    /// Returns the sorted members of a new log if this node is to bootstrap it. The bootstrap
    /// member with the lowest id does so once all bootstrap members have discovered each other and
    /// none of the nodes reached knows of a log. Without configured bootstrap addresses, any three
    /// uninitialized nodes that have discovered exactly these three are the bootstrap members.
    pub fn bootstrap_members(&self, own: Member) -> Option<Vec<Member>> {
        let peers = self.discovered.values();
        let (ids, required_count): (BTreeSet<MemberId>, usize) = match &self.bootstrap_addresses {
            None => (self.known_peers(own.id), VOTERS),
            Some(addresses) if !addresses.contains(&own.address) => return None,
            Some(addresses) => {
                let present = peers.clone().filter(|peer| addresses.contains(&peer.member.address));
                let ids = present.map(|peer| peer.member.id).chain([own.id]);
                (ids.collect(), addresses.len())
            }
        };
        let mut others = peers.clone().filter(|peer| ids.contains(&peer.member.id));
        let all_agree = match self.bootstrap_addresses {
            None => others.all(|peer| peer.known_peers == ids),
            Some(_) => others.all(|peer| peer.known_peers.is_superset(&ids)),
        };
        let has_lowest_id = ids.first() == Some(&own.id);
        if self.is_log_known || ids.len() != required_count || !all_agree || !has_lowest_id {
            return None;
        }
        let members = peers.map(|peer| peer.member).filter(|member| ids.contains(&member.id));
        let mut members: Vec<Member> = members.chain([own]).collect();
        members.sort_unstable();
        Some(members)
    }
}
