//! How control nodes find each other, begin a log, and join one.

use crate::ControlNode;
use postbarrow_consensus::{self as consensus, Member, MemberId};
use postbarrow_constants::consensus::{
    DISCOVERED_RETENTION_MS, DISCOVERY_MS, ELECTION_MIN_MS, INTRODUCTION_MS, VOTERS,
};
use postbarrow_constants::nodes::INTRODUCTIONS;
use postbarrow_messages::{DiscoveryAnnouncement, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

struct DiscoveredPeer {
    member: Member,
    knows: BTreeSet<MemberId>,
    at_ms: u64,
}

/// Addresses that may lead to the others; nobody here is trusted with more than that.
pub(crate) struct PeerDirectory {
    own: SocketAddr,
    addresses: BTreeSet<SocketAddr>,
    /// The seeds of the settings as they are now.
    seeds: Vec<SocketAddr>,
    discovered: BTreeMap<MemberId, DiscoveredPeer>,
    pub(crate) log_exists: bool,
    /// Has no disk that lasts: only finds the others and hands questions on.
    pub(crate) observer: bool,
    /// Where those stand that begin the log together; none: any three empty disks may.
    pub(crate) founders: Option<BTreeSet<SocketAddr>>,
    due_ms: u64,
    /// When this member names the members to its seeds next.
    introduction_due_ms: u64,
    leader_ms: u64,
}

impl PeerDirectory {
    pub fn new(seeds: &[SocketAddr], own: SocketAddr) -> Self {
        let addresses = seeds.iter().copied().filter(|seed| *seed != own).collect();
        PeerDirectory {
            own,
            addresses,
            seeds: seeds.to_vec(),
            discovered: BTreeMap::new(),
            log_exists: false,
            observer: false,
            founders: None,
            due_ms: 0,
            introduction_due_ms: 0,
            leader_ms: 0,
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().copied().collect()
    }

    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.introduction_due_ms = 0;
        seeds.iter().for_each(|seed| self.add(*seed));
    }

    fn add(&mut self, address: SocketAddr) {
        if address != self.own && self.addresses.len() < INTRODUCTIONS {
            self.addresses.insert(address);
        }
    }
}

impl ControlNode {
    /// Who is new, left out or without a leader for long makes itself known; who is about to end
    /// wants no seat.
    pub(crate) fn discovery_tick(&mut self, now_ms: u64) {
        if self.consensus.leader().is_some() || self.leader.is_some() {
            self.directory.leader_ms = now_ms;
        }
        let member = self.consensus.members().contains(&self.own);
        if member {
            self.introduce_to_seeds(now_ms);
        }
        let leaderless = now_ms > self.directory.leader_ms + 3 * ELECTION_MIN_MS;
        if now_ms < self.directory.due_ms || (member && !leaderless) || self.stopping {
            return;
        }
        self.directory.due_ms = now_ms + DISCOVERY_MS;
        let own = self.own;
        let is_pristine = self.consensus.is_pristine();
        self.directory.discovered.retain(|_, peer| now_ms < peer.at_ms + DISCOVERED_RETENTION_MS);
        let mut knows: BTreeSet<MemberId> = self.directory.discovered.keys().copied().collect();
        knows.insert(self.own.id);
        let announcement = DiscoveryAnnouncement {
            member: self.own,
            uninitialized: is_pristine,
            known_peers: knows.iter().copied().collect(),
        };
        let known: BTreeSet<SocketAddr> =
            self.consensus.members().iter().map(|peer| peer.address).collect();
        let to: BTreeSet<SocketAddr> = known.union(&self.directory.addresses).copied().collect();
        for address in to.into_iter().filter(|address| *address != own.address) {
            if !self.directory.observer {
                self.send(address, Message::DiscoveryAnnouncement(announcement.clone()));
            }
            self.send(address, Message::Introduce);
        }
        if is_pristine && !self.directory.observer {
            self.try_bootstrap(now_ms, knows);
        }
    }

    /// The lowest of the founders begins the log, once all of them named each other and nobody
    /// reached knows of a log already. Without founders, any three empty disks that named the same
    /// three are.
    fn try_bootstrap(&mut self, now_ms: u64, knows: BTreeSet<MemberId>) {
        let peers = self.directory.discovered.values();
        let (ids, wanted): (BTreeSet<MemberId>, usize) = match &self.directory.founders {
            None => (knows, VOTERS),
            Some(founders) if !founders.contains(&self.own.address) => return,
            Some(founders) => {
                let present_founders =
                    peers.clone().filter(|peer| founders.contains(&peer.member.address));
                let ids = present_founders.map(|peer| peer.member.id).chain([self.own.id]);
                (ids.collect(), founders.len())
            }
        };
        let mut others = peers.filter(|peer| ids.contains(&peer.member.id));
        let agree = match self.directory.founders {
            None => others.all(|peer| peer.knows == ids),
            Some(_) => others.all(|peer| peer.knows.is_superset(&ids)),
        };
        let is_lowest_id = ids.first() == Some(&self.own.id);
        if self.directory.log_exists || ids.len() != wanted || !agree || !is_lowest_id {
            return;
        }
        let peers = self.directory.discovered.values().map(|peer| peer.member);
        let mut members: Vec<Member> = peers.filter(|peer| ids.contains(&peer.id)).collect();
        members.push(self.own);
        members.sort_unstable();
        self.log_line(format!("begins a new log of {} members", ids.len()));
        self.log(now_ms, consensus::Input::Bootstrap(members.clone()));
        let own = self.own;
        for member in members.iter().filter(|member| **member != own) {
            self.send(member.address, Message::Bootstrap(members.clone()));
        }
    }

    pub(crate) fn on_discovery(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        announcement: DiscoveryAnnouncement,
    ) {
        self.directory.add(from);
        if self.consensus.is_uninitialized() {
            if announcement.uninitialized {
                let knows = announcement.known_peers.into_iter().collect();
                let peer = DiscoveredPeer { member: announcement.member, knows, at_ms: now_ms };
                self.directory.discovered.insert(announcement.member.id, peer);
            } else {
                self.directory.log_exists = true;
            }
            return;
        }
        let bootstrap_members = self.consensus.log().members_at(0);
        if announcement.uninitialized
            && bootstrap_members.contains(&announcement.member)
            && self.consensus.log().base() == 0
        {
            return self.send(from, Message::Bootstrap(bootstrap_members));
        }
        self.log(now_ms, consensus::Input::AddLearner(announcement.member));
    }

    /// Another member stood at this address before, and lost its disk: it leads no more, for its
    /// process is gone. That is all that can be said for it.
    pub(crate) fn on_probe_of_predecessor(&mut self, prober: Member, before: MemberId, round: u64) {
        let before = Member { id: before, address: self.own.address };
        let message = consensus::Message::LeaderProbeResponse { term: 0, round, free: true };
        self.send(prober.address, Message::Consensus { from: before, to: prober.id, message });
    }

    /// Names the members, or who may lead to them. One that is no member itself, a guest for one,
    /// passes on that a log exists: whoever knows only guests finds the members by them.
    pub(crate) fn introduce(&mut self, from: SocketAddr) {
        let members: Vec<SocketAddr> =
            self.consensus.members().iter().map(|member| member.address).collect();
        let is_uninitialized = self.consensus.is_uninitialized();
        let formed = !is_uninitialized || self.directory.log_exists;
        let mut control = members;
        if is_uninitialized {
            control.extend(self.directory.addresses.iter().copied());
        }
        self.send(from, Message::Introduction { control, formed });
    }

    /// Members make themselves known to the seeds that are none. Such a seed may have begun anew
    /// and know only others like itself, while data nodes are told of nobody else.
    fn introduce_to_seeds(&mut self, now_ms: u64) {
        if now_ms < self.directory.introduction_due_ms {
            return;
        }
        self.directory.introduction_due_ms = now_ms + INTRODUCTION_MS;
        let members: Vec<SocketAddr> =
            self.consensus.members().iter().map(|member| member.address).collect();
        let seeds = self.directory.seeds.clone();
        for seed in seeds.into_iter().filter(|seed| !members.contains(seed)) {
            let control = members.clone();
            self.send(seed, Message::Introduction { control, formed: true });
        }
    }

    pub(crate) fn on_introduction(&mut self, control: Vec<SocketAddr>, formed: bool) {
        self.directory.log_exists |= formed;
        for address in control.into_iter().take(INTRODUCTIONS) {
            self.directory.add(address);
        }
    }
}
