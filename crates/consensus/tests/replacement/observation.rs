//! The state of the cluster as seen from outside, and the checks of it.

use crate::cluster::Cluster;
use crate::disk::{change_number, decode};
use postbarrow_consensus::*;
use std::collections::BTreeSet;

impl Cluster {
    /// Returns a member's node; `None` if its process is not running.
    pub fn node(&self, id: MemberId) -> Option<&Consensus> {
        self.machines.get(&id)?.node.as_ref()
    }

    /// Returns the leader with a valid lease, if there is one.
    pub fn leader(&self) -> Option<MemberId> {
        let has_lease = |id: &MemberId| {
            self.node(*id)
                .is_some_and(|node| node.is_ready() && node.lease_until_ms() > self.now_ms)
        };
        self.machines.keys().copied().find(has_lease)
    }

    /// Returns the ids of the leader's configuration in ascending order; none without a leader, or
    /// while the configuration is not committed.
    pub fn voters(&self) -> Vec<MemberId> {
        let Some(node) = self.leader().and_then(|id| self.node(id)) else { return Vec::new() };
        if node.log().config_index() > node.commit_index() {
            return Vec::new();
        }
        let mut ids: Vec<MemberId> = node.members().iter().map(|member| member.id).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the index of the newest entry that this member acknowledged, and that of the newest
    /// on its disk.
    pub fn acknowledged_and_durable_index(&self, id: MemberId) -> (u64, u64) {
        let machine = &self.machines[&id];
        let snapshot_index = machine.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        (
            machine.acknowledged,
            machine.disk.entries.last().map_or(snapshot_index, |entry| entry.index),
        )
    }

    /// Returns whether the log would still have a majority if one more of its running voters were
    /// lost.
    pub fn tolerates_another_loss(&self) -> bool {
        let Some(node) = self.leader().and_then(|id| self.node(id)) else { return false };
        let members = node.members();
        let running = members.iter().filter(|member| self.is_running(member.id)).count();
        running > members.len() / 2 + 1
    }

    /// Returns how many of these changes are not on this member's disk.
    pub fn missing_at(&self, id: MemberId, changes: &BTreeSet<u64>) -> usize {
        let machine = &self.machines[&id];
        let snapshot = machine.disk.snapshot.as_ref();
        let mut durable = snapshot.map_or_else(BTreeSet::new, |stored| decode(&stored.state));
        durable.extend(machine.disk.entries.iter().filter_map(change_number));
        changes.difference(&durable).count()
    }

    /// Checks that there is a leader within `max_ms`, that it commits changes, and that it has
    /// applied all that were ever acknowledged. Returns the milliseconds until there was a leader.
    pub fn assert_serves(&mut self, max_ms: u64, when: &str) -> u64 {
        let leaderless_ms = self.run_until(max_ms, |cluster| cluster.leader().is_some());
        let leaderless_ms =
            leaderless_ms.unwrap_or_else(|| panic!("{when}: no leader after {max_ms} ms"));
        let before = self.acknowledged.len();
        self.run_ms(500);
        assert!(self.acknowledged.len() > before, "{when}: no further change is acknowledged");
        let leader = self.leader().unwrap();
        let lost_count = self.acknowledged.difference(&self.machines[&leader].applied).count();
        assert_eq!(lost_count, 0, "{when}: acknowledged changes are lost");
        leaderless_ms
    }
}
