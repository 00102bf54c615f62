//! What is observable of the members from outside, and what must be true of it.

use crate::cluster::Cluster;
use crate::disk::{decode, number};
use postbarrow_consensus::*;
use std::collections::BTreeSet;

impl Cluster {
    pub fn node(&self, id: MemberId) -> Option<&Consensus> {
        self.machines.get(&id)?.node.as_ref()
    }

    /// The leader with a valid lease.
    pub fn leader(&self) -> Option<MemberId> {
        let condition = |id: &MemberId| {
            self.node(*id).is_some_and(|node| node.is_ready() && node.lease_until() > self.now_ms)
        };
        self.machines.keys().copied().find(condition)
    }

    /// Members of the leader's committed configuration, in order.
    pub fn voters(&self) -> Vec<MemberId> {
        let Some(node) = self.leader().and_then(|id| self.node(id)) else { return Vec::new() };
        if node.log().config_index() > node.commit_index() {
            return Vec::new();
        }
        let mut ids: Vec<MemberId> = node.members().iter().map(|one| one.id).collect();
        ids.sort_unstable();
        ids
    }

    /// The newest entry that this member ever acknowledged, and the newest on its disk.
    pub fn acknowledged_and_durable_index(&self, id: MemberId) -> (u64, u64) {
        let machine = &self.machines[&id];
        let slot = machine.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        (machine.acknowledged, machine.disk.entries.last().map_or(slot, |entry| entry.index))
    }

    /// Whether the log would still have a majority if one more of its running voters were lost.
    pub fn has_margin(&self) -> bool {
        let Some(node) = self.leader().and_then(|id| self.node(id)) else { return false };
        let members = node.members();
        let living = members.iter().filter(|one| self.is_running(one.id)).count();
        living > members.len() / 2 + 1
    }

    /// How many of these changes are not on this member's disk.
    pub fn missing_at(&self, id: MemberId, since: &BTreeSet<u64>) -> usize {
        let machine = &self.machines[&id];
        let snapshot = machine.disk.snapshot.as_ref();
        let mut durable = snapshot.map_or_else(BTreeSet::new, |one| decode(&one.state));
        durable.extend(machine.disk.entries.iter().filter_map(number));
        since.difference(&durable).count()
    }

    /// Service is back, and the leader has committed all that was ever acknowledged.
    pub fn assert_serves(&mut self, max_ms: u64, when: &str) -> u64 {
        let back_ms = self.run_until(max_ms, |cluster| cluster.leader().is_some());
        let back_ms = back_ms.unwrap_or_else(|| panic!("{when}: no leader after {max_ms} ms"));
        let before = self.acknowledged.len();
        self.run_ms(500);
        assert!(self.acknowledged.len() > before, "{when}: nothing more is acknowledged");
        let leader = self.leader().unwrap();
        let voters_to_lose = self.acknowledged.difference(&self.machines[&leader].applied).count();
        assert_eq!(voters_to_lose, 0, "{when}: acknowledged and lost");
        back_ms
    }
}
