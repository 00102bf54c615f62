//! What only a leader has, and loses when it follows again.

use crate::progress::Progress;
use crate::{Consensus, FingerprintTime, Member, MemberId};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// A leader's followers and the times of its term.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Of each voter and learner but this member.
    pub progress: BTreeMap<MemberId, Progress>,
    /// Members that follow the log without a vote (thesis, 4.2.1).
    pub learners: BTreeMap<MemberId, Member>,
    pub heartbeat_due_ms: u64,
    /// First entry of the leader's own term.
    pub term_start_index: u64,
    pub elected_ms: u64,
    /// The lease is relinquished for the rest of the term.
    pub is_transferring: bool,
}

impl LeaderState {
    /// Of a member that has not led yet.
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

    /// A term begins, with its first entry at that index.
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

    /// The term is over.
    pub fn clear_followers(&mut self) {
        self.progress.clear();
        self.learners.clear();
    }

    /// Send time of the newest message that this follower answered, or zero.
    pub fn acknowledged_send_ms(&self, id: MemberId) -> u64 {
        self.progress.get(&id).map_or(0, |progress| progress.acknowledged_send_ms)
    }

    /// What later behaviour depends on, but for what only departures use.
    pub fn fingerprint(&self, time: FingerprintTime, into: &mut impl Hasher) {
        (&self.learners, self.term_start_index, self.is_transferring).hash(into);
        time.until(self.heartbeat_due_ms).hash(into);
        for progress in self.progress.values() {
            progress.fingerprint(time, into);
        }
    }
}

impl Consensus {
    /// The newest entry that this voter or learner is known to have on disk, or zero.
    pub(crate) fn matched(&self, id: MemberId) -> u64 {
        match self.leader_state.progress.get(&id) {
            _ if id == self.id => self.durability.matched(),
            Some(progress) => progress.matched,
            None => 0,
        }
    }

    /// All members that follow this leader without a vote.
    pub fn learners(&self) -> Vec<Member> {
        self.leader_state.learners.values().copied().collect()
    }

    /// For status: each follower of this leader, the milliseconds since its last response, and the
    /// number of entries that it is behind.
    pub fn followers(&self, now_ms: u64) -> Vec<(Member, u64, u64)> {
        let last_index = self.log.last_index();
        let row = |progress: &Progress| {
            let silent_ms = now_ms.saturating_sub(progress.last_response_ms);
            (progress.member, silent_ms, last_index.saturating_sub(progress.matched))
        };
        self.leader_state.progress.values().map(row).collect()
    }
}
