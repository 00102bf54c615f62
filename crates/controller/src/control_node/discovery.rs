//! Discovery: control nodes find each other, and bootstrap a log or join one.

use crate::ControlNode;
use crate::peer_directory::DiscoveredPeer;
use postbarrow_consensus::{self as consensus, MemberId};
use postbarrow_constants::nodes::INTRODUCTIONS_MAX;
use postbarrow_messages::{DiscoveryAnnouncement, Message};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl ControlNode {
    /// Announces this node if it is not a member, or is a member that has been without a leader for
    /// longer than elections take. A node that is stopping doesn't announce itself.
    pub(super) fn discovery_tick(&mut self, now_ms: u64) {
        if self.consensus.leader().is_some() || self.leader.is_some() {
            self.directory.on_leader_known(now_ms);
        }
        let is_member = self.consensus.members().contains(&self.own);
        if is_member {
            self.introduce_to_seeds(now_ms);
        }
        let needs_peers = !is_member || self.directory.is_leaderless(now_ms);
        if !self.directory.is_announcement_due(now_ms) || !needs_peers || self.is_stopping {
            return;
        }
        self.directory.schedule_announcement(now_ms);
        self.directory.remove_expired(now_ms);
        self.announce();
        if self.consensus.is_pristine() && !self.directory.is_observer() {
            self.try_bootstrap(now_ms);
        }
    }

    fn announce(&mut self) {
        let own = self.own;
        let announcement = DiscoveryAnnouncement {
            member: own,
            uninitialized: self.consensus.is_pristine(),
            known_peers: self.directory.known_peers(own.id).into_iter().collect(),
        };
        let members = self.member_addresses();
        let to: BTreeSet<SocketAddr> =
            members.into_iter().chain(self.directory.addresses()).collect();
        for address in to.into_iter().filter(|address| *address != own.address) {
            if !self.directory.is_observer() {
                self.send(address, Message::DiscoveryAnnouncement(announcement.clone()));
            }
            self.send(address, Message::Introduce);
        }
    }

    fn try_bootstrap(&mut self, now_ms: u64) {
        let own = self.own;
        let Some(members) = self.directory.bootstrap_members(own) else { return };
        let ids: BTreeSet<MemberId> = members.iter().map(|member| member.id).collect();
        self.log_line(format!("log bootstrapped members={}", ids.len()));
        self.step(now_ms, consensus::Input::Bootstrap(members.clone()));
        for member in members.iter().filter(|member| **member != own) {
            self.send(member.address, Message::Bootstrap(members.clone()));
        }
    }

    pub(super) fn on_announcement(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        announcement: DiscoveryAnnouncement,
    ) {
        self.directory.add(from);
        let DiscoveryAnnouncement { member, uninitialized, known_peers } = announcement;
        if self.consensus.is_uninitialized() {
            if uninitialized {
                let known_peers = known_peers.into_iter().collect();
                let peer = DiscoveredPeer { member, known_peers, at_ms: now_ms };
                self.directory.on_discovered(peer);
            } else {
                self.directory.on_log_known();
            }
            return;
        }
        let first_members = self.consensus.log().members_at(0);
        if uninitialized && first_members.contains(&member) && self.consensus.log().base() == 0 {
            return self.send(from, Message::Bootstrap(first_members));
        }
        self.step(now_ms, consensus::Input::AddLearner(member));
    }

    /// Sends the members' addresses; a node without a log adds all control nodes that it knows.
    /// Such a node, for example an observer, also reports whether a log is known to exist: a node
    /// that knows only observers must find the members through them.
    pub(super) fn send_introduction(&mut self, from: SocketAddr) {
        let is_uninitialized = self.consensus.is_uninitialized();
        let log_exists = !is_uninitialized || self.directory.is_log_known();
        let mut control_addresses = self.member_addresses();
        if is_uninitialized {
            control_addresses.extend(self.directory.addresses());
        }
        self.send(from, Message::Introduction { control_addresses, log_exists });
    }

    /// Sends the members' addresses to the seeds that are not members. Such a seed may have
    /// restarted and know only other nodes without a log; data nodes that know only such seeds
    /// would find no member.
    fn introduce_to_seeds(&mut self, now_ms: u64) {
        if !self.directory.take_due_introduction(now_ms) {
            return;
        }
        let members = self.member_addresses();
        let seeds = self.directory.seeds().to_vec();
        for seed in seeds.into_iter().filter(|seed| !members.contains(seed)) {
            let control_addresses = members.clone();
            self.send(seed, Message::Introduction { control_addresses, log_exists: true });
        }
    }

    pub(super) fn on_introduction(&mut self, control_addresses: Vec<SocketAddr>, log_exists: bool) {
        if log_exists {
            self.directory.on_log_known();
        }
        for address in control_addresses.into_iter().take(INTRODUCTIONS_MAX) {
            self.directory.add(address);
        }
    }
}
