//! Removes data nodes that stopped reporting, and marks targets as down or up by the nodes'
//! reports.

use crate::ControlNode;
use crate::leader_state::unknown_settlements;
use postbarrow_state::Record;

impl ControlNode {
    pub(super) fn node_expiry_tick(&mut self, now_ms: u64) {
        let is_open = self.has_open_transaction();
        let Some(leader) = &mut self.leader else { return };
        if is_open || !leader.nodes.is_check_due(now_ms) {
            return;
        }
        leader.nodes.schedule_check(now_ms);
        let Some(state) = leader.writer.proposed_state() else { return };
        leader.nodes.sync_with_state(now_ms, state);
        let departed = leader.nodes.departed(now_ms);
        let mut records: Vec<Record> =
            departed.iter().map(|node| Record::NodeGone(*node)).collect();
        if !departed.is_empty() {
            records.extend(unknown_settlements(state, |node| departed.contains(&node)));
        }
        records.extend(leader.nodes.target_conditions(now_ms, state));
        if !departed.is_empty() {
            self.log_line(format!("nodes expired count={}", departed.len()));
        }
        // A node's removal comes first: if this leader's term ends before all settlements are
        // committed, the next leader settles the tickets of nodes that are no longer registered.
        self.propose_in_batches(now_ms, records);
    }
}
