//! Invariants that the ledger checks with every new fact of a run.

use crate::checker::ledger::Ledger;
use postbarrow_consensus::{Entry, Payload};

/// A node may follow an older plan for this time after the acknowledgement of a newer one: a lease
/// and a margin.
const LEASE_US: u64 = 1_005_000;
/// A target may get requests for this time after the endpoint list showed its departure.
const DEPARTURE_US: u64 = 2_500_000;

/// A checksum of a log entry.
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
    /// At most one control node has the leader's lease.
    pub fn check_lease(&mut self, lease_holders: &[usize]) {
        if lease_holders.len() > 1 {
            self.violate(format!("control {lease_holders:?} have the lease at once"));
        }
    }

    /// All control nodes have the same committed entries.
    pub fn check_committed(&mut self, at: usize, index: u64, entry: &Entry) {
        let sum = checksum(entry);
        if *self.committed.entry(index).or_insert(sum) != sum {
            self.violate(format!("control {at} has another entry {index} committed"));
        }
    }

    /// No data node publishes a refused plan, known by its version and number of routes.
    pub fn check_published(&mut self, at: usize, version: String, routes: usize) {
        let published = (version, routes);
        if self.refused.contains(&published) {
            self.violate(format!("data-{at} serves {}, which was refused", published.0));
        }
    }

    /// No node forwards a request by a plan older than the newest that every lease allows.
    pub fn check_plan(&mut self, now_us: u64, at: usize, request: u64, began: u64) {
        let due = self.in_force.iter().filter(|(at_us, _)| at_us + LEASE_US <= now_us);
        if let Some(newest) = due.map(|(_, offset)| *offset).max()
            && began < newest
        {
            self.violate(format!("data-{at} forwarded request {request} by an older plan"));
        }
    }

    /// No target gets a request `late_us` after its departure was shown, but for a short time.
    pub fn check_departed(&mut self, target: &str, late_us: u64) {
        self.max_departure_lag_us = self.max_departure_lag_us.max(late_us);
        if late_us > DEPARTURE_US {
            self.violate(format!(
                "{target} got a request {late_us} us after the list showed its departure"
            ));
        }
    }
}
