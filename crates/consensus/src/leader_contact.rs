//! State that a member keeps about its leader: its identity, and when its last message arrived.

use crate::{Consensus, FingerprintTime, Member, MemberId, Role};
use postbarrow_constants::consensus::ELECTION_MIN_MS;
use std::hash::{Hash, Hasher};

/// The leader that a member follows, and when the last message of a leader arrived.
#[derive(Clone, Debug)]
pub(crate) struct LeaderContact {
    pub leader: Option<MemberId>,
    /// When the last message of a leader arrived, in milliseconds of this member's clock.
    pub last_contact_ms: u64,
    /// Smallest difference observed between this member's clock and the leader's send time, which
    /// is that of the message with the least delay; absent before the leader's first message.
    min_offset_ms: Option<i64>,
}

impl LeaderContact {
    /// Returns the state at the start of an incarnation, which counts as a contact with a leader.
    pub fn new(now_ms: u64) -> Self {
        LeaderContact { leader: None, last_contact_ms: now_ms, min_offset_ms: None }
    }

    /// Sets the leader that is followed, if any. The clock difference is forgotten when the leader
    /// changes, because another leader has another clock.
    pub fn set_leader(&mut self, leader: Option<MemberId>) {
        if leader != self.leader {
            self.min_offset_ms = None;
        }
        self.leader = leader;
    }

    /// Moves the time of the last contact forward to `at_ms`, if it was earlier. A leader that
    /// steps down counts as having been in contact with itself until `at_ms`.
    pub fn advance_last_contact(&mut self, at_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(at_ms);
    }

    /// Returns the time until which this member withholds its vote because of its last contact. The
    /// lease that its response confirms ends earlier.
    pub fn vote_withheld_until_ms(&self) -> u64 {
        self.last_contact_ms + ELECTION_MIN_MS
    }

    fn record_contact(&mut self, now_ms: u64, sent_ms: u64) {
        self.last_contact_ms = now_ms;
        let offset_ms = now_ms as i64 - sent_ms as i64;
        let min_ms = self.min_offset_ms.map_or(offset_ms, |min_ms| min_ms.min(offset_ms));
        self.min_offset_ms = Some(min_ms);
    }

    /// Returns by how many milliseconds a message was delayed longer than the leader's fastest one;
    /// zero before the leader's first message.
    pub fn excess_delay_ms(&self, now_ms: u64, sent_ms: u64) -> u64 {
        let offset_ms = now_ms as i64 - sent_ms as i64;
        self.min_offset_ms.map_or(0, |min_ms| (offset_ms - min_ms).max(0) as u64)
    }

    /// Hashes the state that later behaviour depends on, except for the clock difference.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        (self.leader, time.age(self.last_contact_ms)).hash(hasher);
    }
}

impl Consensus {
    /// Handles the arrival of a message of the leader of `term`: this member follows it, and starts
    /// no election while such messages arrive.
    pub(crate) fn on_leader_contact(&mut self, now_ms: u64, from: Member, term: u64, sent_ms: u64) {
        let follows_sender = self.role == Role::Follower && self.contact.leader == Some(from.id);
        if term > self.term || !follows_sender {
            self.become_follower(now_ms, term, Some(from.id));
        }
        self.probe.reported_not_leading = false;
        self.contact.record_contact(now_ms, sent_ms);
        self.election.reset_timer(now_ms);
    }
}
