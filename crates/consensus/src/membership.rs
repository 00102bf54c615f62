//! Membership changes, one member at a time (thesis, chapter 4), with learners that catch up before
//! they become voters (4.2.1).

use crate::progress::Progress;
use crate::{Consensus, Member, MemberId, Payload, Role};
use postbarrow_constants::consensus::{
    LEARNER_LAG_ENTRIES, LEARNER_STANDBY_MS, RESPONSIVE_MS, VOTER_DEAD_MS, VOTERS,
};

/// The number of voters that the configuration should have, and the time after which an
/// unresponsive one is replaced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoterPolicy {
    /// Number of voters up to which the configuration grows while learners are caught up.
    pub target_voters: usize,
    /// Time in milliseconds without a response after which a voter is removed, if a learner is
    /// caught up.
    pub voter_dead_ms: u64,
}

impl Default for VoterPolicy {
    fn default() -> Self {
        VoterPolicy { target_voters: VOTERS, voter_dead_ms: VOTER_DEAD_MS }
    }
}

impl VoterPolicy {
    /// Sets the number of voters such that a majority remains after `losses` of them are lost at
    /// once.
    pub fn set_tolerated_losses(&mut self, losses: usize) {
        self.target_voters = VOTERS.max(2 * losses + 1);
    }
}

impl Consensus {
    /// Adds a process as a learner; if it is a voter already, its address is updated instead.
    pub(crate) fn add_learner(&mut self, now_ms: u64, member: Member) {
        let is_departing = self.is_departing(now_ms, member.id);
        if self.role != Role::Leader || member.id == self.id || is_departing {
            return;
        }
        if let Some(voter) = self.log.members().iter().find(|voter| voter.id == member.id) {
            if voter.address != member.address && self.log.config_index() <= self.commit_index {
                self.change_address(now_ms, member);
            }
            return;
        }
        let next_index = self.log.last_index() + 1;
        self.leader_state.learners.insert(member.id, member);
        self.track_progress(now_ms, member, next_index);
    }

    /// Proposes the next configuration: one change at a time (thesis, 4.1), and none that would
    /// leave the log without a majority of responsive voters.
    pub(crate) fn membership_tick(&mut self, now_ms: u64) {
        if !self.is_ready() || self.log.config_index() > self.commit_index {
            return;
        }
        let Some(members) = self.next_members(now_ms) else { return };
        let responsive = members
            .iter()
            .filter(|member| member.id == self.id || self.is_responsive(now_ms, member.id));
        if responsive.count() > members.len() / 2 {
            self.propose_members(now_ms, members);
        }
    }

    /// Returns the next configuration, if the voters should change.
    ///
    /// The reasons for the order are given for a target of three voters. A dead voter is removed
    /// before the learner is added: otherwise there would be four voters, of which no majority would
    /// be left if the learner were lost as well. A responsive voter that departs is removed after
    /// the learner is added: four responsive voters tolerate a loss at each step. If one of the four
    /// does not respond but does not count as dead, the departing voter is removed, since its loss
    /// is the more certain one. No voter is removed before the learner has responded for longer than
    /// `RESPONSIVE_MS`, since the learner may run on the machine of a voter that was lost a moment
    /// ago.
    fn next_members(&self, now_ms: u64) -> Option<Vec<Member>> {
        let members = self.log.members();
        if members.len() > self.voter_policy.target_voters {
            let removed = self.dead_voter(now_ms).or_else(|| self.departing_voter(now_ms))?;
            return Some(self.members_without(removed));
        }
        let learner = self.caught_up_learner(now_ms)?;
        let with_learner = || members.iter().copied().chain([learner]).collect();
        if members.len() < self.voter_policy.target_voters {
            return Some(with_learner());
        }
        let progress = self.leader_state.progress.get(&learner.id);
        let since_ms = progress.map_or(now_ms, |progress| progress.replicating_since_ms);
        if now_ms < since_ms + LEARNER_STANDBY_MS {
            return None;
        }
        match self.dead_voter(now_ms) {
            Some(dead) => Some(self.members_without(dead)),
            None => self.departing_voter(now_ms).map(|_| with_learner()),
        }
    }

    fn members_without(&self, removed: MemberId) -> Vec<Member> {
        self.log.members().iter().filter(|member| member.id != removed).copied().collect()
    }

    /// Returns the voter with the oldest last response among those that count as dead.
    fn dead_voter(&self, now_ms: u64) -> Option<MemberId> {
        let silent_ms = |id: MemberId| {
            self.leader_state.progress.get(&id).map_or(0, |progress| progress.silent_ms(now_ms))
        };
        let is_dead = |id: &MemberId| {
            silent_ms(*id) >= self.voter_policy.voter_dead_ms
                || self.has_stopped_after_announcement(now_ms, *id)
        };
        self.peer_ids().filter(is_dead).max_by_key(|id| silent_ms(*id))
    }

    /// Returns a voter that announced its departure within the last `RESPONSIVE_MS`, if any.
    fn departing_voter(&self, now_ms: u64) -> Option<MemberId> {
        self.peer_ids().find(|id| self.is_departing(now_ms, *id))
    }

    fn peer_ids(&self) -> impl Iterator<Item = MemberId> {
        self.log.members().iter().map(|member| member.id).filter(|id| *id != self.id)
    }

    /// Returns whether a voter or learner responded to this leader within `RESPONSIVE_MS`. One that
    /// this leader has only begun to replicate to counts as responsive for that time, because it
    /// may not have been able to respond yet.
    pub(crate) fn is_responsive(&self, now_ms: u64, id: MemberId) -> bool {
        let progress = self.leader_state.progress.get(&id);
        progress.is_some_and(|progress| progress.silent_ms(now_ms) < RESPONSIVE_MS)
    }

    fn caught_up_learner(&self, now_ms: u64) -> Option<Member> {
        let is_caught_up = |learner: &&Member| {
            self.is_responsive(now_ms, learner.id)
                && !self.is_departing(now_ms, learner.id)
                && self.match_index(learner.id) + LEARNER_LAG_ENTRIES >= self.log.last_index()
        };
        self.leader_state.learners.values().find(is_caught_up).copied()
    }

    /// Proposes a voter's new address. The disk and the set of voters stay the same, so one step is
    /// enough.
    fn change_address(&mut self, now_ms: u64, moved: Member) {
        let mut members = self.members_without(moved.id);
        members.push(moved);
        self.leader_state.progress.remove(&moved.id);
        self.propose_members(now_ms, members);
    }

    fn propose_members(&mut self, now_ms: u64, members: Vec<Member>) {
        self.append_to_own_log(now_ms, vec![Payload::Members(members.clone())]);
        let next_index = self.log.last_index() + 1;
        for member in &members {
            self.leader_state.learners.remove(&member.id);
            if member.id != self.id {
                self.track_progress(now_ms, *member, next_index);
            }
        }
        let learners = &self.leader_state.learners;
        self.leader_state.progress.retain(|id, _| {
            members.iter().any(|member| member.id == *id) || learners.contains_key(id)
        });
    }

    fn track_progress(&mut self, now_ms: u64, member: Member, next_index: u64) {
        let progress = self.leader_state.progress.entry(member.id);
        progress.or_insert_with(|| Progress::new(member, next_index, now_ms));
    }
}
