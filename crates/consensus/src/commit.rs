//! Advance of the commit index (thesis, 3.5 and 3.6.2).

use crate::{Consensus, Effect};

impl Consensus {
    /// Commits, on a leader, the entries that a majority of the voters has on disk. Only an entry
    /// of the leader's own term is committed by counting; entries of earlier terms are committed
    /// with it (thesis, 3.6.2).
    pub(crate) fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut match_indexes: Vec<u64> =
            members.iter().map(|member| self.match_index(member.id)).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let majority_index = match_indexes.get(members.len() / 2).copied().unwrap_or(0);
        if majority_index > self.commit_index && self.log.term_at(majority_index) == Some(self.term)
        {
            self.commit_to(majority_index);
        }
    }

    /// Commits, on any member, all entries up to `index` that this member's log has.
    pub(crate) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        if index <= self.commit_index {
            return;
        }
        let entries = self.log.range(self.commit_index + 1, index);
        self.commit_index = index;
        self.effects.push(Effect::Commit(entries));
    }
}
