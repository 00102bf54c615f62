//! Invariants that the ledger checks whenever a run records an event.

use crate::checker::ledger::Ledger;
use postbarrow_consensus::{Entry, Payload};

/// Time for which a node may follow an older plan after the acknowledgement of a newer one, in
/// microseconds: a lease and a margin.
const MAX_PLAN_LAG_US: u64 = 1_005_000;
/// Time for which a target may receive requests after the endpoint list showed its departure, in
/// microseconds.
const MAX_DEPARTURE_LAG_US: u64 = 2_500_000;

/// Returns a checksum of a log entry's term and bytes.
fn checksum(entry: &Entry) -> u64 {
    let mut sum = entry.term.wrapping_mul(0x9e37_79b9);
    if let Payload::Batch(bytes) = &entry.payload {
        for byte in bytes {
            sum = sum.rotate_left(7) ^ u64::from(*byte);
        }
    }
    sum
}

impl Ledger {
    /// Checks that at most one control node has the leader's lease.
    pub fn check_lease(&mut self, lease_holders: &[usize]) {
        if lease_holders.len() > 1 {
            self.report(format!("control {lease_holders:?} have the lease at once"));
        }
    }

    /// Checks that the entry that control node `at` has committed at this index is the one that
    /// others have committed there.
    pub fn check_committed(&mut self, at: usize, index: u64, entry: &Entry) {
        let sum = checksum(entry);
        if *self.committed.entry(index).or_insert(sum) != sum {
            self.report(format!("control {at} has another entry {index} committed"));
        }
    }

    /// Checks that data node `at` does not publish a refused plan, which is recognised by its
    /// version and number of routes.
    pub fn check_published(&mut self, at: usize, version: String, routes: usize) {
        let published = (version, routes);
        if self.refused.contains(&published) {
            self.report(format!("data-{at} serves {}, which was refused", published.0));
        }
    }

    /// Checks that data node `at` does not forward a request by a plan that is older than the
    /// newest one acknowledged at least `MAX_PLAN_LAG_US` ago. Plans are ordered by the log offset
    /// of their Begin.
    pub fn check_plan(&mut self, now_us: u64, at: usize, request: u64, began_at: u64) {
        let mandatory = self.in_force.iter().filter(|(at_us, _)| at_us + MAX_PLAN_LAG_US <= now_us);
        if let Some(newest) = mandatory.map(|(_, offset)| *offset).max()
            && began_at < newest
        {
            self.report(format!("data-{at} forwarded request {request} by an older plan"));
        }
    }

    /// Checks that a target receives no request more than `MAX_DEPARTURE_LAG_US` after the endpoint
    /// list showed its departure; `lag_us` is the time since then.
    pub fn check_departed(&mut self, target: &str, lag_us: u64) {
        self.max_departure_lag_us = self.max_departure_lag_us.max(lag_us);
        if lag_us > MAX_DEPARTURE_LAG_US {
            self.report(format!(
                "{target} got a request {lag_us} us after the list showed its departure"
            ));
        }
    }
}
