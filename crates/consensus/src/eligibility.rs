//! Whether this member may lead. A member whose owner can't apply the committed log must not: it
//! still stores entries, acknowledges them and votes, so that the log needs no further member.

use crate::{Consensus, Role};

impl Consensus {
    /// Sets whether this member may lead. A leader that may not steps down, and the member does
    /// not campaign until it may lead again.
    pub(crate) fn set_can_lead(&mut self, now_ms: u64, can_lead: bool) {
        self.can_lead = can_lead;
        if !can_lead && self.role != Role::Follower {
            self.become_follower(now_ms, self.term, None);
        }
    }

    /// Returns whether this member may campaign and accept leadership now.
    pub(crate) fn may_campaign(&self) -> bool {
        self.can_lead && !self.is_disk_stalled()
    }
}
