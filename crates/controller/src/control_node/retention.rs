//! Proposes the removal of old records.

use crate::ControlNode;

impl ControlNode {
    pub(super) fn retention_tick(&mut self, now_ms: u64) {
        if self.has_open_transaction() {
            return;
        }
        let history_ms = self.settings.history_ms;
        let Some(leader) = &mut self.leader else { return };
        if !leader.retention.is_due(now_ms) {
            return;
        }
        leader.retention.schedule_next(now_ms);
        let Some(state) = leader.writer.proposed_state() else { return };
        let records = leader.retention.due_records(now_ms, history_ms, state);
        if !records.is_empty() {
            self.propose(now_ms, records);
        }
    }
}
