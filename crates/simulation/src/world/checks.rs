//! Invariants that the world checks after events: one committed history, at most one leader's
//! lease, no forwarding by an outdated plan, for a departed client or to a departed target.

use crate::event::ProcessId;
use crate::world::World;

impl World {
    /// Checks after an input to control node `at` that at most one node has the leader's lease, and
    /// that the newest entries it has committed agree with those of all others.
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

    /// Checks that control node `at` has dropped no target that the endpoint list still shows and
    /// never showed as departed, whatever the list's faults.
    fn check_targets(&mut self, at: usize) {
        let Some(node) = &self.control[at].node else { return };
        let committed = &node.committed().targets;
        let previous = &self.control[at].targets;
        if previous.ptr_eq(committed) {
            return;
        }
        let committed = committed.clone();
        let dropped: Vec<String> = previous
            .keys()
            .filter(|instance| !committed.contains_key(*instance))
            .map(ToString::to_string)
            .filter(|instance| {
                self.list.rows.contains_key(instance)
                    && !self.list.departures.contains_key(instance)
            })
            .filter(|instance| self.targets.iter().any(|target| target.instance == *instance))
            .collect();
        for instance in dropped {
            self.ledger.report(format!(
                "{instance} was dropped, though the list never showed its departure"
            ));
        }
        self.control[at].targets = committed;
    }

    /// Checks that the routing table published by data node `at` does not contain a refused plan.
    pub fn check_published(&mut self, at: usize) {
        let state = &self.data[at].table.state;
        let Some(version) = state.plan_version().map(str::to_string) else { return };
        let routes = state.routes.len();
        self.ledger.check_published(at, version, routes);
    }

    /// Checks, whenever data node `at` forwards a request, that its client has not departed, that
    /// its plan is not outdated, and that its target did not depart too long ago.
    pub fn check_forward(&mut self, request: u64, at: usize) {
        self.ledger.forwards += 1;
        if self.requests.get(&request).is_some_and(|run| run.client_departed) {
            let text = format!("data-{at} forwarded request {request} for a client that departed");
            self.ledger.report(text);
        }
        let began_at = self.data[at].table.state.plan.as_ref().map_or(0, |plan| plan.offset);
        let now_us = self.now_us;
        self.ledger.check_plan(now_us, at, request, began_at);
        let Some(target) = self.target_of(request) else { return };
        if let Some(departed_us) = self.list.departures.get(&target) {
            let lag_us = now_us.saturating_sub(*departed_us);
            let lag_us = lag_us.saturating_sub(self.list.unavailable_us(*departed_us, now_us));
            self.ledger.check_departed(&target, lag_us);
        }
    }
}
