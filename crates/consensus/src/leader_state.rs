//! State that a member has only while it leads.

use crate::progress::Progress;
use crate::{Consensus, FingerprintTime, Member, MemberId};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How far a follower is behind its leader, reported in the leader's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The follower, which is a voter or a learner.
    pub member: Member,
    /// Milliseconds since the follower's last response.
    pub silent_ms: u64,
    /// Number of entries in the leader's log that the follower has not confirmed.
    pub lag_entries: u64,
}

/// A leader's followers and the times of its term.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// State of each voter and learner except this member.
    pub progress: BTreeMap<MemberId, Progress>,
    /// Members that follow the log without a vote (thesis, 4.2.1).
    pub learners: BTreeMap<MemberId, Member>,
    pub heartbeat_due_ms: u64,
    /// Index of the first entry of the leader's own term.
    pub term_start_index: u64,
    pub elected_ms: u64,
    /// Whether the leader relinquished its lease for the rest of the term.
    pub is_transferring: bool,
}

impl LeaderState {
    /// Returns the state of a member that has not led yet.
    pub fn new(now_ms: u64) -> Self {
        LeaderState {
            progress: BTreeMap::new(),
            learners: BTreeMap::new(),
            heartbeat_due_ms: 0,
            term_start_index: 0,
            elected_ms: now_ms,
            is_transferring: false,
        }
    }

    /// Begins a term of this leader, whose first entry is at `term_start_index`.
    pub fn start_term(
        &mut self,
        now_ms: u64,
        term_start_index: u64,
        progress: BTreeMap<MemberId, Progress>,
    ) {
        self.elected_ms = now_ms;
        self.is_transferring = false;
        self.progress = progress;
        self.term_start_index = term_start_index;
    }

    /// Forgets all followers when this member no longer leads.
    pub fn clear_followers(&mut self) {
        self.progress.clear();
        self.learners.clear();
    }

    /// Returns this leader's send time of the newest message that the follower answered, or zero.
    pub fn acknowledged_send_ms(&self, id: MemberId) -> u64 {
        self.progress.get(&id).map_or(0, |progress| progress.acknowledged_send_ms)
    }

    /// Hashes the state that later behaviour depends on, except for what only departures use.
    pub fn fingerprint(&self, time: FingerprintTime, hasher: &mut impl Hasher) {
        (&self.learners, self.term_start_index, self.is_transferring).hash(hasher);
        time.until(self.heartbeat_due_ms).hash(hasher);
        for progress in self.progress.values() {
            progress.fingerprint(time, hasher);
        }
    }
}

impl Consensus {
    /// Returns the index of the newest entry that this voter or learner is known to have on disk,
    /// or zero.
    pub(crate) fn match_index(&self, id: MemberId) -> u64 {
        match self.leader_state.progress.get(&id) {
            _ if id == self.id => self.durability.synced_index(),
            Some(progress) => progress.match_index,
            None => 0,
        }
    }

    /// Returns all members that follow this leader without a vote; none unless this member leads.
    pub fn learners(&self) -> Vec<Member> {
        self.leader_state.learners.values().copied().collect()
    }

    /// Returns the status of all voters and learners that follow this leader; none unless this
    /// member leads.
    pub fn followers(&self, now_ms: u64) -> Vec<FollowerStatus> {
        let last_index = self.log.last_index();
        let status = |progress: &Progress| FollowerStatus {
            member: progress.member,
            silent_ms: progress.silent_ms(now_ms),
            lag_entries: last_index.saturating_sub(progress.match_index),
        };
        self.leader_state.progress.values().map(status).collect()
    }
}
