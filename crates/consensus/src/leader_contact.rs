//! What a member knows of its leader: who it is, and when its last message arrived.

use crate::{Consensus, FingerprintTime, Member, MemberId, Role};
use postbarrow_constants::consensus::ELECTION_MIN_MS;
use std::hash::{Hash, Hasher};

/// A member's contact with its leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderContact {
    pub leader: Option<MemberId>,
    /// When a message of a leader arrived last.
    pub last_contact_ms: u64,
    /// Smallest difference observed between this clock and the leader's: that of the message with
    /// the least delay.
    min_offset_ms: Option<i64>,
}

impl LeaderContact {
    /// At the start of an incarnation, which counts as a contact.
    pub fn new(now_ms: u64) -> Self {
        LeaderContact { leader: None, last_contact_ms: now_ms, min_offset_ms: None }
    }

    /// Follows this leader, or none. Another leader has another clock.
    pub fn follow(&mut self, leader: Option<MemberId>) {
        if leader != self.leader {
            self.min_offset_ms = None;
        }
        self.leader = leader;
    }

    /// A former leader counts as contacted by itself at that time.
    pub fn raise_last_contact(&mut self, at_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(at_ms);
    }

    /// Until when a voter grants no vote: longer than the lease that its response confirms.
    pub fn bound_until_ms(&self) -> u64 {
        self.last_contact_ms + ELECTION_MIN_MS
    }

    fn record(&mut self, now_ms: u64, sent_ms: u64) {
        self.last_contact_ms = now_ms;
        let offset_ms = now_ms as i64 - sent_ms as i64;
        let min_ms = self.min_offset_ms.map_or(offset_ms, |min_ms| min_ms.min(offset_ms));
        self.min_offset_ms = Some(min_ms);
    }

    /// By how much longer than the fastest message of this leader one was delayed.
    pub fn excess_delay_ms(&self, now_ms: u64, sent_ms: u64) -> u64 {
        let offset_ms = now_ms as i64 - sent_ms as i64;
        self.min_offset_ms.map_or(0, |min_ms| (offset_ms - min_ms).max(0) as u64)
    }

    /// What later behaviour depends on, but for the clock offset.
    pub fn fingerprint(&self, time: FingerprintTime, into: &mut impl Hasher) {
        (self.leader, time.age(self.last_contact_ms)).hash(into);
    }
}

impl Consensus {
    /// A message of the leader of this term arrived: no election while such messages come.
    pub(crate) fn on_leader_contact(&mut self, now_ms: u64, from: Member, term: u64, sent_ms: u64) {
        let is_followed = self.role == Role::Follower && self.contact.leader == Some(from.id);
        if term > self.term || !is_followed {
            self.become_follower(now_ms, term, Some(from.id));
        }
        self.probe.denied_leadership = false;
        self.contact.record(now_ms, sent_ms);
        self.election.reset_timer(now_ms);
    }
}
