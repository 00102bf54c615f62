//! A member's own candidacy: the election timer, pre-vote (thesis, 9.6) and the election (3.4).

use crate::{Consensus, Member, MemberId, Message, Role, VoteRequest};
use postbarrow_constants::consensus::{ELECTION_MIN_MS, ELECTION_SPREAD_MS};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// The election timer and the candidacy in progress.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    due_ms: u64,
    /// When this incarnation of the member started.
    started_ms: u64,
    /// Members that granted the vote or pre-vote in progress, including this one.
    votes: BTreeSet<MemberId>,
    /// Whether the candidacy follows a probe round in which no member led.
    pub leaderless: bool,
    /// State of the xorshift generator that randomizes the election timeouts.
    generator_state: u64,
}

impl Election {
    /// Returns the state at the start of an incarnation, with the first random timeout.
    pub fn new(seed: u64, now_ms: u64) -> Self {
        let mut election = Election {
            due_ms: 0,
            started_ms: now_ms,
            votes: BTreeSet::new(),
            leaderless: false,
            generator_state: seed | 1,
        };
        election.reset_timer(now_ms);
        election
    }

    /// Restarts the timer with a timeout drawn at random (thesis, 3.4).
    pub fn reset_timer(&mut self, now_ms: u64) {
        let spread_ms = self.next_random() % ELECTION_SPREAD_MS;
        self.due_ms = now_ms + ELECTION_MIN_MS + spread_ms;
    }

    /// Delays the end of the timer to `until_ms`, if it would end earlier.
    fn postpone(&mut self, until_ms: u64) {
        self.due_ms = self.due_ms.max(until_ms);
    }

    /// Returns whether the timer has run out.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }

    /// Returns the time until which this member withholds its vote after its start, because an
    /// earlier incarnation of it may have confirmed a leader's lease.
    pub fn vote_withheld_after_start_until_ms(&self) -> u64 {
        self.started_ms + ELECTION_MIN_MS
    }

    /// Postpones this member's own candidacy, so that a candidate that received its pre-vote has
    /// time to win.
    pub fn defer_to_candidate(&mut self, now_ms: u64) {
        self.postpone(now_ms + ELECTION_SPREAD_MS);
    }

    /// Hashes the state that later behaviour depends on, except for the generator's state.
    pub fn fingerprint(&self, time: crate::FingerprintTime, hasher: &mut impl Hasher) {
        (&self.votes, self.leaderless).hash(hasher);
        (time.age(self.started_ms), time.until(self.due_ms)).hash(hasher);
    }

    fn next_random(&mut self) -> u64 {
        self.generator_state ^= self.generator_state << 13;
        self.generator_state ^= self.generator_state >> 7;
        self.generator_state ^= self.generator_state << 17;
        self.generator_state
    }
}

impl Consensus {
    /// Requests pre-votes from all other voters, to learn whether this member would win an
    /// election, without starting a term.
    pub(crate) fn start_pre_vote(&mut self, now_ms: u64, leaderless: bool) {
        self.election.reset_timer(now_ms);
        if !self.may_campaign() {
            return;
        }
        self.election.leaderless = leaderless;
        self.set_role(Role::PreCandidate);
        self.contact.leader = None;
        self.election.votes = [self.id].into();
        let request = self.vote_request(self.term + 1, false, leaderless);
        for to in self.peers() {
            self.send(to, Message::PreVote(request.clone()));
        }
        if self.has_won() {
            self.start_vote(now_ms, false);
        }
    }

    /// Starts a term as its candidate. This member's own vote is synced before it requests others.
    pub(crate) fn start_vote(&mut self, now_ms: u64, leadership_transfer: bool) {
        self.election.reset_timer(now_ms);
        if !self.may_campaign() {
            return;
        }
        self.set_role(Role::Candidate);
        self.term += 1;
        self.voted_for = Some(self.id);
        self.election.votes = [self.id].into();
        self.write_hard_state();
        let leaderless = self.election.leaderless && !leadership_transfer;
        let request = self.vote_request(self.term, leadership_transfer, leaderless);
        for to in self.peers() {
            self.send_after_sync(to, Message::Vote(request.clone()));
        }
        if self.has_won() {
            self.become_leader(now_ms);
        }
    }

    fn vote_request(&self, term: u64, leadership_transfer: bool, leaderless: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            leadership_transfer,
            leaderless,
        }
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
                self.become_follower(now_ms, term, None);
            }
            return;
        }
        if self.role != Role::PreCandidate || term != self.term + 1 {
            return;
        }
        self.count_vote(from);
        if self.has_won() {
            self.start_vote(now_ms, false);
        }
    }

    pub(crate) fn on_vote_response(&mut self, now_ms: u64, from: Member, term: u64, granted: bool) {
        if term > self.term {
            return self.become_follower(now_ms, term, None);
        }
        if self.role != Role::Candidate || term != self.term || !granted {
            return;
        }
        self.count_vote(from);
        if self.has_won() {
            self.become_leader(now_ms);
        }
    }

    /// Counts a vote, if the voter belongs to this member's own configuration (thesis, 4.1).
    fn count_vote(&mut self, from: Member) {
        if self.log.is_member(from.id) {
            self.election.votes.insert(from.id);
        }
    }

    fn has_won(&self) -> bool {
        self.election.votes.len() >= self.majority()
    }
}
