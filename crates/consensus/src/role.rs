//! Roles and the transitions between them (thesis, 3.3 and 3.4).

use crate::progress::Progress;
use crate::{Consensus, Effect, MemberId, Payload};
use postbarrow_constants::consensus::ELECTION_MIN_MS;

/// Role of a member in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Stores the entries of a leader, or waits for a leader.
    Follower,
    /// Requests pre-votes, to learn whether it would win an election (thesis, 9.6).
    PreCandidate,
    /// Requests votes from the other voters.
    Candidate,
    /// Appends entries to its log and replicates them.
    Leader,
}

impl Consensus {
    pub(crate) fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<MemberId>) {
        if term > self.term {
            self.leader_state.is_transferring = false;
            self.term = term;
            self.voted_for = None;
            self.write_hard_state();
        }
        self.election.leaderless = false;
        self.probe.end_round();
        self.probe.reported_not_leading &= leader.is_none();
        if self.role == Role::Leader {
            self.leader_state.clear_followers();
            self.contact.advance_last_contact(now_ms.saturating_sub(ELECTION_MIN_MS));
        }
        self.set_role(Role::Follower);
        self.contact.set_leader(leader);
        self.election.reset_timer(now_ms);
    }

    pub(crate) fn become_leader(&mut self, now_ms: u64) {
        self.set_role(Role::Leader);
        self.probe.reported_not_leading = false;
        self.contact.leader = Some(self.id);
        self.incoming_snapshot = None;
        let next_index = self.log.last_index() + 1;
        let followers = self.peers().into_iter();
        let progress =
            followers.map(|member| (member.id, Progress::new(member, next_index, now_ms)));
        self.leader_state.start_term(now_ms, next_index, progress.collect());
        self.append_to_own_log(now_ms, vec![Payload::TermStart]);
    }

    pub(crate) fn set_role(&mut self, role: Role) {
        if self.role != role {
            self.role = role;
            self.effects.push(Effect::Role(role));
        }
    }
}
