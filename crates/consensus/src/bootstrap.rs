//! How the first members begin a log.

use crate::{Consensus, Member, Snapshot};
use std::sync::Arc;

impl Consensus {
    /// First start of members with empty disks that all name the same members: an empty snapshot
    /// with that configuration becomes the log's base.
    pub(crate) fn bootstrap(&mut self, members: Vec<Member>) {
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
}
