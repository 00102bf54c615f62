//! Granting of votes: the election restriction (thesis, 3.6.1), the vote's persistence (3.8) and
//! the refusal while a leader may have a lease (4.2.3 and 6.4.1).

use crate::{Consensus, Member, Message, Role, VoteRequest};

impl Consensus {
    /// Responds whether this member would vote for the sender. The response binds this member to
    /// nothing.
    ///
    /// The candidate counts responses by its own configuration, so this member responds whatever
    /// its configuration is: a voter that has not yet received the entry that added it must still
    /// respond, or the others may never have a majority.
    pub(crate) fn on_pre_vote(&mut self, now_ms: u64, from: Member, request: VoteRequest) {
        let granted = request.term > self.term
            && !self.is_disk_stalled()
            && (!self.must_withhold_vote(now_ms) || self.is_known_leaderless(&request))
            && self.is_up_to_date(&request)
            && self.defers_to(&from, &request);
        if granted && self.role != Role::Leader {
            self.set_role(Role::Follower);
            self.election.defer_to_candidate(now_ms);
        }
        let term = if granted { request.term } else { self.term };
        self.send(from, Message::PreVoteResponse { term, granted });
    }

    /// Grants this member's vote to at most one candidate in each term, and responds once the vote
    /// is on disk. A request is ignored, with its term, while this member must withhold its vote,
    /// unless leadership is being transferred or no member has a lease.
    pub(crate) fn on_vote(&mut self, now_ms: u64, from: Member, request: VoteRequest) {
        let overrides_withholding =
            request.leadership_transfer || self.is_known_leaderless(&request);
        if self.must_withhold_vote(now_ms) && !overrides_withholding {
            return;
        }
        if request.term > self.term {
            self.become_follower(now_ms, request.term, None);
        }
        let may_vote_for_candidate = self.voted_for.is_none() || self.voted_for == Some(from.id);
        let granted = request.term == self.term
            && may_vote_for_candidate
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

    /// Returns whether this member must not grant a vote: it has a lease as leader, received a
    /// message from a leader within the last `ELECTION_MIN_MS`, or started within that time and may
    /// have received one before its start. The leader's lease relies on this.
    fn must_withhold_vote(&self, now_ms: u64) -> bool {
        let has_lease = self.role == Role::Leader && now_ms < self.lease_until_ms();
        let withheld_until_ms = self
            .contact
            .vote_withheld_until_ms()
            .max(self.election.vote_withheld_after_start_until_ms());
        has_lease || now_ms < withheld_until_ms
    }

    /// Returns whether the candidate's log is at least as up to date as this member's. This is the
    /// election restriction, by which an elected leader's log has every committed entry.
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether this member lets another candidate continue. Of two members that campaign at
    /// the same time, the one with the more up-to-date log continues, or else the one with the
    /// lower identity.
    fn defers_to(&self, other: &Member, request: &VoteRequest) -> bool {
        let is_more_up_to_date =
            (request.last_term, request.last_index) > (self.log.last_term(), self.log.last_index());
        !matches!(self.role, Role::PreCandidate | Role::Candidate)
            || is_more_up_to_date
            || other.id < self.id
    }

    /// Returns whether the request follows a probe round in which no member led, and this member
    /// has received no message from a leader since it reported that it does not lead: then no
    /// member has a lease.
    fn is_known_leaderless(&self, request: &VoteRequest) -> bool {
        request.leaderless && self.probe.reported_not_leading && self.role != Role::Leader
    }
}
