//! Who votes: the first members, learners, and the one step at a time by which seats change.

use crate::*;
use postbarrow_constants::consensus::*;

impl Consensus {
    /// First start of three empty disks that all named the same three.
    pub(crate) fn form(&mut self, members: Vec<Member>) {
        if !self.is_uninitialized()
            || self.log.last_index() > 0
            || !members.iter().any(|member| member.id == self.id)
        {
            return;
        }
        let snapshot = Arc::new(Snapshot { index: 0, term: 0, members, state: Vec::new() });
        self.log.reset(&snapshot);
        self.write_slot(snapshot);
    }

    pub(crate) fn learner(&mut self, now_ms: u64, member: Member) {
        if self.role != Role::Leader || member.id == self.id || self.is_leaving(now_ms, member.id) {
            return;
        }
        if let Some(known) = self.log.members().iter().find(|known| known.id == member.id) {
            if known.address != member.address && self.log.config_index() <= self.commit_index {
                self.move_member(now_ms, member);
            }
            return;
        }
        let next = self.log.last_index() + 1;
        self.learners.insert(member.id, member);
        self.progress.entry(member.id).or_insert_with(|| Progress::new(member, next, now_ms));
    }

    /// One step at a time, and none that would leave the log without a majority of those heard
    /// lately.
    pub(crate) fn change_members(&mut self, now_ms: u64) {
        if !self.is_ready() || self.log.config_index() > self.commit_index {
            return;
        }
        let Some(members) = self.next_members(now_ms) else { return };
        let live =
            members.iter().filter(|one| one.id == self.id || self.is_responsive(now_ms, one.id));
        if live.count() > members.len() / 2 {
            self.propose_members(now_ms, members);
        }
    }

    /// A dead voter leaves first, then the learner joins: a learner that dies meanwhile can't be
    /// missed by a majority of four. A living one that is about to end leaves last: four that all
    /// live bear a loss at each step, and if one is silent, the leaver's own end is the surer loss.
    /// No voter makes place before the learner has been here for longer than 'lately', for it may
    /// stand where one of the others stood a moment ago.
    fn next_members(&self, now_ms: u64) -> Option<Vec<Member>> {
        let members = self.log.members();
        if members.len() > self.voters {
            let leaves = self.dead_voter(now_ms).or_else(|| self.leaver(now_ms))?;
            return Some(self.members_without(leaves));
        }
        let learner = self.caught_up(now_ms)?;
        let joined = || members.iter().copied().chain([learner]).collect();
        if members.len() < self.voters {
            return Some(joined());
        }
        let since_ms = self.progress.get(&learner.id).map_or(now_ms, |known| known.since_ms);
        if now_ms < since_ms + LEARNER_STANDBY_MS {
            return None;
        }
        match self.dead_voter(now_ms) {
            Some(dead) => Some(self.members_without(dead)),
            None => self.leaver(now_ms).map(|_| joined()),
        }
    }

    fn members_without(&self, gone: MemberId) -> Vec<Member> {
        self.log.members().iter().filter(|one| one.id != gone).copied().collect()
    }

    /// The voter silent longest of those that are taken for dead.
    fn dead_voter(&self, now_ms: u64) -> Option<MemberId> {
        let silent_ms = |id: MemberId| {
            self.progress.get(&id).map_or(0, |known| now_ms.saturating_sub(known.last_response_ms))
        };
        let others = self.log.members().iter().map(|one| one.id).filter(|id| *id != self.id);
        let dead =
            others.filter(|id| silent_ms(*id) >= self.voter_dead_ms || self.is_gone(now_ms, *id));
        dead.max_by_key(|id| silent_ms(*id))
    }

    /// A voter that still lives and is about to end.
    fn leaver(&self, now_ms: u64) -> Option<MemberId> {
        let mut others = self.log.members().iter().map(|one| one.id).filter(|id| *id != self.id);
        others.find(|id| self.is_leaving(now_ms, *id))
    }

    /// It answered this leader lately, or this one was elected lately and knows no better.
    pub(crate) fn is_responsive(&self, now_ms: u64, id: MemberId) -> bool {
        let known = self.progress.get(&id);
        known.is_some_and(|known| now_ms.saturating_sub(known.last_response_ms) < RESPONSIVE_MS)
    }

    fn caught_up(&self, now_ms: u64) -> Option<Member> {
        let caught = |learner: &&Member| {
            self.progress.get(&learner.id).is_some_and(|known| {
                self.is_responsive(now_ms, learner.id)
                    && !self.is_leaving(now_ms, learner.id)
                    && known.matched + LEARNER_LAG_ENTRIES >= self.log.last_index()
            })
        };
        self.learners.values().find(caught).copied()
    }

    /// The same disk at another address: the same voters, so one step does.
    fn move_member(&mut self, now_ms: u64, moved: Member) {
        let mut members = self.log.members().to_vec();
        members.retain(|member| member.id != moved.id);
        members.push(moved);
        self.progress.remove(&moved.id);
        self.propose_members(now_ms, members);
    }

    fn propose_members(&mut self, now_ms: u64, members: Vec<Member>) {
        self.append_own(now_ms, vec![Payload::Members(members.clone())]);
        let next = self.log.last_index() + 1;
        for member in &members {
            self.learners.remove(&member.id);
            if member.id != self.id {
                self.progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(*member, next, now_ms));
            }
        }
        let learners = &self.learners;
        self.progress.retain(|id, _| {
            members.iter().any(|member| member.id == *id) || learners.contains_key(id)
        });
    }

    pub fn learners(&self) -> Vec<Member> {
        self.learners.values().copied().collect()
    }

    /// Silence and lag of each known member, for status.
    pub fn followers(&self, now_ms: u64) -> Vec<(Member, u64, u64)> {
        let last = self.log.last_index();
        let row = |known: &Progress| {
            (
                known.member,
                now_ms.saturating_sub(known.last_response_ms),
                last.saturating_sub(known.matched),
            )
        };
        self.progress.values().map(row).collect()
    }
}
