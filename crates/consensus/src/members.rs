use crate::*;
use postbarrow_constants::consensus::*;

impl Consensus {
    /// First start of three empty disks that all named the same three.
    pub(crate) fn form(&mut self, members: Vec<Member>) {
        if !self.is_fresh()
            || self.log.last() > 0
            || !members.iter().any(|member| member.id == self.id)
        {
            return;
        }
        let snapshot = Arc::new(Snapshot { index: 0, term: 0, members, state: Vec::new() });
        self.log.reset(&snapshot);
        self.write_slot(snapshot);
    }

    pub(crate) fn learner(&mut self, nowMs: u64, member: Member) {
        if self.role != Role::Leader || member.id == self.id {
            return;
        }
        if let Some(known) = self.log.members().iter().find(|known| known.id == member.id) {
            if known.address != member.address && self.log.config_index() <= self.commit {
                self.move_member(nowMs, member);
            }
            return;
        }
        let next = self.log.last() + 1;
        self.learners.insert(member.id, member);
        self.progress.entry(member.id).or_insert_with(|| Progress::new(member, next, nowMs));
    }

    /// One step at a time: a caught-up learner joins, then the voter silent longest leaves.
    pub(crate) fn change_members(&mut self, nowMs: u64) {
        if !self.is_ready() || self.log.config_index() > self.commit {
            return;
        }
        let members = self.log.members().to_vec();
        let silentMs = |id: MemberId| match self.progress.get(&id) {
            Some(known) => nowMs.saturating_sub(known.heardMs),
            None => 0,
        };
        let silentest = members
            .iter()
            .filter(|member| member.id != self.id)
            .max_by_key(|member| silentMs(member.id))
            .copied();
        let Some(silentest) = silentest else { return };
        if members.len() > VOTERS {
            let left = members.into_iter().filter(|member| member.id != silentest.id).collect();
            return self.propose_members(nowMs, left);
        }
        if silentMs(silentest.id) < VOTER_DEAD_MS {
            return;
        }
        let caught = self.learners.values().copied().find(|learner| {
            self.progress.get(&learner.id).is_some_and(|known| {
                nowMs.saturating_sub(known.heardMs) < HEARTBEAT_MS * 4
                    && known.matched + LEARNER_LAG_ENTRIES >= self.log.last()
            })
        });
        if let Some(learner) = caught {
            let mut joined = members;
            joined.push(learner);
            self.propose_members(nowMs, joined);
        }
    }

    /// The same disk at another address: the same voters, so one step does.
    fn move_member(&mut self, nowMs: u64, moved: Member) {
        let mut members = self.log.members().to_vec();
        members.retain(|member| member.id != moved.id);
        members.push(moved);
        self.progress.remove(&moved.id);
        self.propose_members(nowMs, members);
    }

    fn propose_members(&mut self, nowMs: u64, members: Vec<Member>) {
        self.append_own(nowMs, vec![Payload::Members(members.clone())]);
        let next = self.log.last() + 1;
        for member in &members {
            self.learners.remove(&member.id);
            if member.id != self.id {
                self.progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(*member, next, nowMs));
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
    pub fn followers(&self, nowMs: u64) -> Vec<(Member, u64, u64)> {
        let last = self.log.last();
        let row = |known: &Progress| {
            (known.member, nowMs.saturating_sub(known.heardMs), last.saturating_sub(known.matched))
        };
        self.progress.values().map(row).collect()
    }
}
