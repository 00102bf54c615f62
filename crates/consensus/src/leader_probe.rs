use crate::*;
use postbarrow_constants::consensus::{ELECTION_MIN_MS, LEADER_PROBE_MS};

/// A hold is only in the memory of who leads. So when every member says in one round that it does
/// not lead, no lease is left, and nobody need wait for its end: after all have restarted at once,
/// or the leader alone.
///
/// Rounds are numbered from a random begin in each life, so that no answer to an earlier life counts.
/// Whoever comes to lead after its answer begins its term with an entry that the asker lacks, and
/// those that confirm its lease have that entry and give the asker no vote.
impl Consensus {
    /// One that just started and knows of no leader asks all others, round after round.
    pub(crate) fn who_tick(&mut self, now_ms: u64) {
        let waits = self.role == Role::Follower
            && self.leader.is_none()
            && now_ms < self.started_ms + ELECTION_MIN_MS
            && self.log.is_member(self.id);
        if !waits || now_ms < self.probe_due_ms {
            return;
        }
        self.probe_due_ms = now_ms + LEADER_PROBE_MS;
        self.end_round();
        let (term, round) = (self.term, self.probe_round);
        for to in self.others() {
            self.send(to, Message::LeaderProbe { term, round });
        }
    }

    /// Later answers to it don't count: they may speak of a time before what was heard since.
    pub(crate) fn end_round(&mut self) {
        self.probe_round += 1;
        self.non_leaders.clear();
    }

    pub(crate) fn on_who(&mut self, from: Member, round: u64) {
        let free = self.role != Role::Leader;
        self.denied_leadership = free;
        self.send(from, Message::LeaderProbeResponse { term: self.term, round, free });
    }

    pub(crate) fn on_who_response(
        &mut self,
        now_ms: u64,
        from: Member,
        term: u64,
        round: u64,
        free: bool,
    ) {
        let waits = self.role == Role::Follower && self.leader.is_none();
        if round != self.probe_round || !free || !waits || !self.log.is_member(self.id) {
            return;
        }
        if term > self.term {
            return self.follow(now_ms, term, None);
        }
        self.non_leaders.insert(from.id);
        if self.others().iter().all(|other| self.non_leaders.contains(&other.id)) {
            self.end_round();
            self.denied_leadership = true;
            self.start_pre_vote(now_ms, true);
        }
    }

    /// Since this one said that it does not lead, nobody else was heard to.
    pub(crate) fn is_clear(&self, ask: &VoteRequest) -> bool {
        ask.leaderless && self.denied_leadership && self.role != Role::Leader
    }
}
