//! Where a vote is granted: the election restriction (thesis, 3.6.1), the vote's persistence (3.8)
//! and the refusal while a leader may hold a lease (4.2.3 and 6.4.1).

use crate::{Consensus, Member, Message, Role, VoteRequest};

impl Consensus {
    /// Answers whether this member would vote for the sender, without promising anything.
    ///
    /// Whether the answer counts is for the candidate's configuration to say: a voter that has not
    /// received yet the entry by which it joined must still answer, or the others may lack a
    /// majority for ever.
    pub(crate) fn on_pre_vote(&mut self, now_ms: u64, from: Member, request: VoteRequest) {
        let granted = request.term > self.term
            && !self.is_disk_stalled()
            && (!self.is_bound_to_leader(now_ms) || self.is_known_leaderless(&request))
            && self.is_up_to_date(&request)
            && self.defers_to(&from, &request);
        if granted && self.role != Role::Leader {
            self.set_role(Role::Follower);
            self.election.defer_to_candidate(now_ms);
        }
        let term = if granted { request.term } else { self.term };
        self.send(from, Message::PreVoteResponse { term, granted });
    }

    /// Grants this member's vote of a term, once, and responds when the vote is on disk.
    pub(crate) fn on_vote(&mut self, now_ms: u64, from: Member, request: VoteRequest) {
        let may_override = request.leadership_transfer || self.is_known_leaderless(&request);
        if self.is_bound_to_leader(now_ms) && !may_override {
            return;
        }
        if request.term > self.term {
            self.become_follower(now_ms, request.term, None);
        }
        let is_vote_free = self.voted_for.is_none() || self.voted_for == Some(from.id);
        let granted = request.term == self.term
            && is_vote_free
            && !self.is_disk_stalled()
            && self.is_up_to_date(&request);
        if granted {
            self.voted_for = Some(from.id);
            self.write_hard_state();
            self.election.reset_timer(now_ms);
        }
        let response = Message::VoteResponse { term: self.term, granted };
        self.send_after_sync(from, response);
    }

    /// A voter that had contact with a leader lately, or that just started and may have had,
    /// grants nothing: the leader's lease rests on that.
    fn is_bound_to_leader(&self, now_ms: u64) -> bool {
        let has_lease = self.role == Role::Leader && now_ms < self.lease_until();
        let bound_until_ms =
            self.contact.bound_until_ms().max(self.election.bound_by_start_until_ms());
        has_lease || now_ms < bound_until_ms
    }

    /// The election restriction: the candidate's log has every committed entry.
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Of two members that campaign at once, the one with the longer log continues, or else the one
    /// with the lower identity.
    fn defers_to(&self, other: &Member, request: &VoteRequest) -> bool {
        let is_longer =
            (request.last_term, request.last_index) > (self.log.last_term(), self.log.last_index());
        !matches!(self.role, Role::PreCandidate | Role::Candidate)
            || is_longer
            || other.id < self.id
    }

    /// Since this member denied that it leads, it had contact with no leader: nobody has a lease.
    fn is_known_leaderless(&self, request: &VoteRequest) -> bool {
        request.leaderless && self.probe.denied_leadership && self.role != Role::Leader
    }
}
