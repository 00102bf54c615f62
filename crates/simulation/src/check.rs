//! Checks that run after every event: one history, at most one lease, no older plan, no leaving target.

use crate::event::ProcessId;
use crate::world::World;
use postbarrow_consensus::Payload;

const LEASE_US: u64 = 1_005_000;

impl World {
    /// At most one controller's lease at any moment, and one history for all.
    pub fn check_control(&mut self, at: usize) {
        let lease_holders: Vec<usize> = (0..self.control.len())
            .filter(|at| {
                let now_ms = self.local_ms(ProcessId::Control(*at));
                self.control[*at].node.as_ref().is_some_and(|node| node.has_lease(now_ms))
            })
            .collect();
        if lease_holders.len() > 1 {
            self.ledger.violate(format!("control {lease_holders:?} hold at once"));
        }
        let Some(node) = &self.control[at].node else { return };
        let log = node.consensus().log();
        let commit = node.consensus().commit_index();
        let from = commit.saturating_sub(16).max(log.base() + 1);
        let mut found = Vec::new();
        for index in from..=commit {
            let Some(entry) = log.get(index) else { continue };
            let mut sum = entry.term.wrapping_mul(0x9e37_79b9);
            if let Payload::Batch(bytes) = &entry.payload {
                for byte in bytes {
                    sum = sum.rotate_left(7) ^ u64::from(*byte);
                }
            }
            if *self.ledger.committed.entry(index).or_insert(sum) != sum {
                found.push(format!("control {at} has another entry {index} committed"));
            }
        }
        found.into_iter().for_each(|text| self.ledger.violate(text));
        self.check_targets(at);
    }

    /// No trouble of the list takes a target that it never showed leave.
    fn check_targets(&mut self, at: usize) {
        let Some(node) = &self.control[at].node else { return };
        let now = &node.committed().targets;
        let before = &self.control[at].targets;
        if before.ptr_eq(now) {
            return;
        }
        let now = now.clone();
        let dropped: Vec<String> = before
            .keys()
            .filter(|instance| !now.contains_key(*instance))
            .map(ToString::to_string)
            .filter(|instance| {
                self.list.rows.contains_key(instance)
                    && !self.list.departures.contains_key(instance)
            })
            .filter(|instance| self.targets.iter().any(|target| target.instance == *instance))
            .collect();
        for instance in dropped {
            self.ledger
                .violate(format!("{instance} was dropped, though the list never showed it leave"));
        }
        self.control[at].targets = now;
    }

    pub fn check_published(&mut self, at: usize) {
        let state = &self.data[at].table.state;
        let Some(version) = state.plan_version().map(str::to_string) else { return };
        let published = (version, state.routes.len());
        if self.ledger.refused.contains(&published) {
            self.ledger.violate(format!("data-{at} serves {}, which was refused", published.0));
        }
    }

    /// Whenever a node forwards a request: no older plan, no leaving target.
    pub fn check_forward(&mut self, request: u64, at: usize) {
        self.ledger.forwards += 1;
        if self.requests.get(&request).is_some_and(|run| run.client_left) {
            let text = format!("data-{at} passed request {request} on for a client that left");
            self.ledger.violate(text);
        }
        let began = self.data[at].table.state.plan.as_ref().map_or(0, |plan| plan.offset);
        let now_us = self.now_us;
        let due = self.ledger.in_force.iter().filter(|(at_us, _)| at_us + LEASE_US <= now_us);
        if let Some(newest) = due.map(|(_, offset)| *offset).max()
            && began < newest
        {
            self.ledger.violate(format!("data-{at} passed request {request} by an older plan"));
        }
        let Some(target) = self.target_of(request) else { return };
        if let Some(departed_us) = self.list.departures.get(&target) {
            let late_us = now_us.saturating_sub(*departed_us);
            let late_us = late_us.saturating_sub(self.list.unavailable_us(*departed_us, now_us));
            self.ledger.longest_leave_us = self.ledger.longest_leave_us.max(late_us);
            if late_us > 2_500_000 {
                let text =
                    format!("{target} got an request {late_us} us after the list showed it leave");
                self.ledger.violate(text);
            }
        }
    }
}
