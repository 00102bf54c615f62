//! Invariants checked after events: one history, at most one lease, no older plan, no departed target.

use crate::event::ProcessId;
use crate::world::World;

impl World {
    /// At most one leader's lease at any time, and one history for all.
    pub fn check_control(&mut self, at: usize) {
        let lease_holders: Vec<usize> = (0..self.control.len())
            .filter(|at| {
                let now_ms = self.local_ms(ProcessId::Control(*at));
                self.control[*at].node.as_ref().is_some_and(|node| node.has_lease(now_ms))
            })
            .collect();
        self.ledger.check_lease(&lease_holders);
        let Some(node) = &self.control[at].node else { return };
        let log = node.consensus().log();
        let commit = node.consensus().commit_index();
        for index in commit.saturating_sub(16).max(log.base() + 1)..=commit {
            if let Some(entry) = log.get(index) {
                self.ledger.check_committed(at, index, entry);
            }
        }
        self.check_targets(at);
    }

    /// No fault of the endpoint list removes a target that it never showed as departed.
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
            self.ledger.violate(format!(
                "{instance} was dropped, though the list never showed its departure"
            ));
        }
        self.control[at].targets = now;
    }

    /// Checks that the image that data node `at` published holds no refused plan.
    pub fn check_published(&mut self, at: usize) {
        let state = &self.data[at].table.state;
        let Some(version) = state.plan_version().map(str::to_string) else { return };
        let routes = state.routes.len();
        self.ledger.check_published(at, version, routes);
    }

    /// Whenever a node forwards a request: no older plan, no departed target or client.
    pub fn check_forward(&mut self, request: u64, at: usize) {
        self.ledger.forwards += 1;
        if self.requests.get(&request).is_some_and(|run| run.client_left) {
            let text = format!("data-{at} forwarded request {request} for a client that departed");
            self.ledger.violate(text);
        }
        let began = self.data[at].table.state.plan.as_ref().map_or(0, |plan| plan.offset);
        let now_us = self.now_us;
        self.ledger.check_plan(now_us, at, request, began);
        let Some(target) = self.target_of(request) else { return };
        if let Some(departed_us) = self.list.departures.get(&target) {
            let late_us = now_us.saturating_sub(*departed_us);
            let late_us = late_us.saturating_sub(self.list.unavailable_us(*departed_us, now_us));
            self.ledger.check_departed(&target, late_us);
        }
    }
}
