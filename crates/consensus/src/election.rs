use crate::*;
use postbarrow_constants::consensus::*;

impl Consensus {
    pub(crate) fn set_election(&mut self, now_ms: u64) {
        let spread = self.random() % ELECTION_SPREAD_MS;
        self.election_due_ms = now_ms + ELECTION_MIN_MS + spread;
    }

    fn majority(&self) -> usize {
        self.log.members().len() / 2 + 1
    }

    fn vote_ask(&self, term: u64, handed: bool, clear: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            leadership_transfer: handed,
            leaderless: clear,
        }
    }

    pub(crate) fn others(&self) -> Vec<Member> {
        self.log.members().iter().filter(|member| member.id != self.id).copied().collect()
    }

    pub(crate) fn start_pre_vote(&mut self, now_ms: u64, clear: bool) {
        self.set_election(now_ms);
        if self.is_disk_stalled() {
            return;
        }
        self.leaderless = clear;
        self.set_role(Role::PreCandidate);
        self.leader = None;
        self.votes = [self.id].into();
        let ask = self.vote_ask(self.term + 1, false, clear);
        for to in self.others() {
            self.send(to, Message::PreVote(ask.clone()));
        }
        if self.votes.len() >= self.majority() {
            self.start_vote(now_ms, false);
        }
    }

    pub(crate) fn start_vote(&mut self, now_ms: u64, handed: bool) {
        self.set_election(now_ms);
        if self.is_disk_stalled() {
            return;
        }
        self.set_role(Role::Candidate);
        self.term += 1;
        self.voted_for = Some(self.id);
        self.votes = [self.id].into();
        self.write_hard();
        let ask = self.vote_ask(self.term, handed, self.leaderless && !handed);
        for to in self.others() {
            self.send_after_sync(to, Message::Vote(ask.clone()));
        }
        if self.votes.len() >= self.majority() {
            self.become_leader(now_ms);
        }
    }

    /// A voter that heard a leader lately, or just started and may have, promises nothing.
    fn bound_to_leader(&self, now_ms: u64) -> bool {
        let leading = self.role == Role::Leader && now_ms < self.lease_until();
        leading || now_ms < self.leader_contact_ms.max(self.started_ms) + ELECTION_MIN_MS
    }

    fn up_to_date(&self, ask: &VoteRequest) -> bool {
        (ask.last_term, ask.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Whether it counts is for the candidate's members to say: a voter that has not heard yet that
    /// it joined must still vote, or the others may lack a majority for ever.
    pub(crate) fn on_pre_vote(&mut self, now_ms: u64, from: Member, ask: VoteRequest) {
        let granted = ask.term > self.term
            && !self.is_disk_stalled()
            && (!self.bound_to_leader(now_ms) || self.is_clear(&ask))
            && self.up_to_date(&ask)
            && self.yields_to(&from, &ask);
        if granted && self.role != Role::Leader {
            self.set_role(Role::Follower);
            self.election_due_ms = self.election_due_ms.max(now_ms + ELECTION_SPREAD_MS);
        }
        let term = if granted { ask.term } else { self.term };
        self.send(from, Message::PreVoteResponse { term, granted });
    }

    /// Of two that try at once, the one with the longer log goes on, or else the lower number.
    fn yields_to(&self, other: &Member, ask: &VoteRequest) -> bool {
        let longer =
            (ask.last_term, ask.last_index) > (self.log.last_term(), self.log.last_index());
        !matches!(self.role, Role::PreCandidate | Role::Candidate) || longer || other.id < self.id
    }

    pub(crate) fn on_pre_vote_response(
        &mut self,
        now_ms: u64,
        from: Member,
        term: u64,
        granted: bool,
    ) {
        if !granted {
            if term > self.term {
                self.follow(now_ms, term, None);
            }
            return;
        }
        if self.role != Role::PreCandidate || term != self.term + 1 {
            return;
        }
        if self.log.is_member(from.id) {
            self.votes.insert(from.id);
        }
        if self.votes.len() >= self.majority() {
            self.start_vote(now_ms, false);
        }
    }

    pub(crate) fn on_vote(&mut self, now_ms: u64, from: Member, ask: VoteRequest) {
        if self.bound_to_leader(now_ms) && !ask.leadership_transfer && !self.is_clear(&ask) {
            return;
        }
        if ask.term > self.term {
            self.follow(now_ms, ask.term, None);
        }
        let free = self.voted_for.is_none() || self.voted_for == Some(from.id);
        let granted =
            ask.term == self.term && free && !self.is_disk_stalled() && self.up_to_date(&ask);
        if granted {
            self.voted_for = Some(from.id);
            self.write_hard();
            self.set_election(now_ms);
        }
        let response = Message::VoteResponse { term: self.term, granted };
        self.send_after_sync(from, response);
    }

    pub(crate) fn on_vote_response(&mut self, now_ms: u64, from: Member, term: u64, granted: bool) {
        if term > self.term {
            return self.follow(now_ms, term, None);
        }
        if self.role != Role::Candidate || term != self.term || !granted {
            return;
        }
        if self.log.is_member(from.id) {
            self.votes.insert(from.id);
        }
        if self.votes.len() >= self.majority() {
            self.become_leader(now_ms);
        }
    }

    pub(crate) fn follow(&mut self, now_ms: u64, term: u64, leader: Option<MemberId>) {
        if leader != self.leader {
            self.leader_offset_ms = None;
        }
        if term > self.term {
            self.transferring_leadership = false;
            self.term = term;
            self.voted_for = None;
            self.write_hard();
        }
        self.leaderless = false;
        self.end_round();
        self.denied_leadership &= leader.is_none();
        if self.role == Role::Leader {
            self.progress.clear();
            self.learners.clear();
            self.leader_contact_ms =
                self.leader_contact_ms.max(now_ms.saturating_sub(ELECTION_MIN_MS));
        }
        self.set_role(Role::Follower);
        self.leader = leader;
        self.set_election(now_ms);
    }

    pub(crate) fn set_role(&mut self, role: Role) {
        if self.role != role {
            self.role = role;
            self.effects.push(Effect::Role(role));
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        self.set_role(Role::Leader);
        self.denied_leadership = false;
        self.leader = Some(self.id);
        self.led_since_ms = now_ms;
        self.incoming = None;
        self.transferring_leadership = false;
        self.progress.clear();
        for member in self.others() {
            let progress = Progress::new(member, self.log.last_index() + 1, now_ms);
            self.progress.insert(member.id, progress);
        }
        self.term_start = self.log.last_index() + 1;
        self.append_own(now_ms, vec![Payload::TermStart]);
    }

    /// End of the lease a majority confirmed, by this leader's own send times.
    pub fn lease_until(&self) -> u64 {
        if self.role != Role::Leader || self.transferring_leadership {
            return 0;
        }
        let mut echoes: Vec<u64> = self
            .log
            .members()
            .iter()
            .filter(|member| member.id != self.id)
            .map(|member| {
                self.progress.get(&member.id).map_or(0, |known| known.acknowledged_send_ms)
            })
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.majority() - usize::from(self.log.is_member(self.id));
        match needed.checked_sub(1) {
            None => u64::MAX,
            Some(at) => match echoes.get(at) {
                Some(0) | None => 0,
                Some(echo_ms) => echo_ms + LEADER_LEASE_MS,
            },
        }
    }
}
