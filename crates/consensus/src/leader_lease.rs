//! The end of the leader's lease (thesis, 6.4.1).
//!
//! A follower that responds to a leader grants no vote for `ELECTION_MIN_MS` after it received the
//! leader's message (see `vote_granting`). The leader counts its lease, which is shorter, from when
//! it sent the message that was answered. So no other leader is elected during the lease, provided
//! that no clock gains the difference between the two times within that period.

use crate::{Consensus, Role};
use postbarrow_constants::consensus::LEADER_LEASE_MS;

impl Consensus {
    /// Returns the end of the lease that a majority confirmed, in milliseconds of this leader's
    /// clock, counted from its own send times; zero for a member without a lease, and `u64::MAX`
    /// for the leader of a log without other voters. A leader that relinquished its lease has none
    /// for the rest of its term.
    pub fn lease_until_ms(&self) -> u64 {
        if self.role != Role::Leader || self.leader_state.is_transferring {
            return 0;
        }
        let members = self.log.members().iter().filter(|member| member.id != self.id);
        let mut acknowledged_ms: Vec<u64> =
            members.map(|member| self.leader_state.acknowledged_send_ms(member.id)).collect();
        acknowledged_ms.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.majority() - usize::from(self.log.is_member(self.id));
        match needed.checked_sub(1) {
            None => u64::MAX,
            Some(position) => match acknowledged_ms.get(position) {
                Some(0) | None => 0,
                Some(sent_ms) => sent_ms + LEADER_LEASE_MS,
            },
        }
    }
}
