//! Probes for a leader, by which a cluster without one elects at once.
//!
//! A lease exists only in the memory of the leader. So when every member reports in one round that
//! it does not lead, no lease is left, and no member needs to wait for one to end. This is the case
//! after all members have restarted at the same time, or the leader alone.
//!
//! Rounds are numbered from a random start in each incarnation, so that no response to an earlier
//! incarnation counts. A member that becomes leader after its response starts its term with an
//! entry that the probing member lacks; the members that confirm its lease have that entry and
//! refuse the probing member their votes.

use crate::{Consensus, FingerprintTime, Member, MemberId, Message, Role};
use postbarrow_constants::consensus::LEADER_PROBE_MS;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// The probe rounds of a member, in each of which it asks all other voters whether they lead.
#[derive(Clone, Debug)]
pub(crate) struct ProbeState {
    round: u64,
    due_ms: u64,
    /// Members that reported in the current round that they do not lead.
    non_leaders: BTreeSet<MemberId>,
    /// Whether this member reported that it does not lead, or learned from a probe round that no
    /// other member does, and has received no message from a leader since.
    pub reported_not_leading: bool,
}

impl ProbeState {
    /// Returns the state before the first round of an incarnation.
    pub fn new(seed: u64, now_ms: u64) -> Self {
        ProbeState {
            round: seed >> 1,
            due_ms: now_ms,
            non_leaders: BTreeSet::new(),
            reported_not_leading: false,
        }
    }

    /// Ends the current round. Responses to it that arrive later are ignored, since they may have
    /// been sent before a message of a leader that this member has received in the meantime.
    pub fn end_round(&mut self) {
        self.round += 1;
        self.non_leaders.clear();
    }

    /// Hashes the state that later behaviour depends on.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        (self.round, &self.non_leaders, self.reported_not_leading).hash(hasher);
        time.until(self.due_ms).hash(hasher);
    }
}

impl Consensus {
    /// Probes all other voters, round after round, while this member knows no leader and withholds
    /// its vote after its start.
    pub(crate) fn probe_tick(&mut self, now_ms: u64) {
        let is_probing = self.is_without_leader()
            && now_ms < self.election.vote_withheld_after_start_until_ms()
            && self.log.is_member(self.id);
        if !is_probing || now_ms < self.probe.due_ms {
            return;
        }
        self.probe.due_ms = now_ms + LEADER_PROBE_MS;
        self.probe.end_round();
        let (term, round) = (self.term, self.probe.round);
        for to in self.peers() {
            self.send(to, Message::LeaderProbe { term, round });
        }
    }

    pub(crate) fn on_leader_probe(&mut self, from: Member, round: u64) {
        let not_leading = self.role != Role::Leader;
        self.probe.reported_not_leading = not_leading;
        self.send(from, Message::LeaderProbeResponse { term: self.term, round, not_leading });
    }

    /// Starts a candidacy once all other voters reported in one round that they do not lead.
    pub(crate) fn on_leader_probe_response(
        &mut self,
        now_ms: u64,
        from: Member,
        term: u64,
        round: u64,
        not_leading: bool,
    ) {
        let is_current_report = round == self.probe.round && not_leading;
        if !is_current_report || !self.is_without_leader() || !self.log.is_member(self.id) {
            return;
        }
        if term > self.term {
            return self.become_follower(now_ms, term, None);
        }
        self.probe.non_leaders.insert(from.id);
        if self.peers().iter().all(|peer| self.probe.non_leaders.contains(&peer.id)) {
            self.probe.end_round();
            self.probe.reported_not_leading = true;
            self.start_pre_vote(now_ms, true);
        }
    }

    fn is_without_leader(&self) -> bool {
        self.role == Role::Follower && self.contact.leader.is_none()
    }
}
