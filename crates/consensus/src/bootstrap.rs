//! Bootstrap of a new log by its first members.

use crate::{Consensus, Member, Snapshot};
use std::sync::Arc;

impl Consensus {
    /// Starts a new log, whose base is an empty snapshot with `members` as its configuration. All
    /// of these have an empty disk and are given the same list. Ignored unless this member is
    /// uninitialized and one of them.
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
