//! Bounds of a deployment, and what follows from them for a process.

use postbarrow_constants::consensus::{LOG_BYTES, VOTER_DEAD_MIN_MS, VOTER_DEAD_MS};
use postbarrow_constants::coordination::HISTORY_RETENTION_MS;
use postbarrow_constants::nodes::{LIST_FIRST_SCAN_GAP_MS, LIST_GAP_MS, NODE_LEASE_MS};
use postbarrow_constants::traffic::*;

/// Bounds that a deployment sets. What it doesn't set is the product's own constant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// From the mark of a draining target in the endpoint list to its last request; 0: not set.
    pub drain_ms: u64,
    /// From a plan's acknowledgement until it is in force on every node; 0: not set.
    pub in_force_ms: u64,
    /// From the request to stop to the end of the process; 0: not set.
    pub grace_ms: u64,
    /// From a new member's start until the next machine may be lost; 0: not set.
    pub catch_up_ms: u64,
    /// Watch events are retained for at least so long.
    pub history_ms: u64,
    /// Retries allowed, in per cent of a service's requests.
    pub retry_percent: u64,
    /// The window in which retries are counted; 0: the retry budget is not set.
    pub retry_window_ms: u64,
    /// Retries allowed in each window besides the percentage.
    pub retry_slack: u64,
    /// How many machines with a disk may be lost at once.
    pub max_losses: usize,
    /// Memory of the process.
    pub memory_bytes: Option<u64>,
    /// Disk of the process.
    pub disk_bytes: Option<u64>,
    /// Shortest gap between two requests to the endpoint list.
    pub list_gap_ms: Option<u64>,
}

/// Of the smaller of the drain and in-force bounds, so much is the node's lease; the remainder is
/// for the update's way to the node.
const LEASE_PERCENT: u64 = 60;
/// Of the grace period, so much passes while the process is seen as unready, before its listener
/// closes.
const UNREADY_PERCENT: u64 = 42;
/// Of the grace period, so much in all; the remainder is a margin before the process is killed.
const STOP_PERCENT: u64 = 92;
/// A quarter of a process's memory for bodies of requests, and another for those of responses.
const BODIES_DIVISOR: u64 = 4;
/// An eighth of a disk for the log between two slots, so that two slots and two logs fit beside each
/// other.
const LOG_DIVISOR: u64 = 8;
/// A slot gets half of the log's bound: its state is what a log's records made, most of them old.
const RESERVED_SLOT_DIVISOR: u64 = 2;
/// Requests to the endpoint list keep a gap longer by this percentage than its rate permits, since
/// two controllers may overlap.
const LIST_GAP_PERCENT: u64 = 130;

impl Bounds {
    /// How long a node serves on one response of the controller.
    pub fn node_lease_ms(&self) -> u64 {
        let bound_ms = [self.drain_ms, self.in_force_ms].into_iter().filter(|ms| *ms > 0).min();
        bound_ms.map_or(NODE_LEASE_MS, |ms| (ms * LEASE_PERCENT / 100).max(NODE_LEASE_MS))
    }

    /// How long a stopping node is unready before it closes its listener, and after how long the
    /// process ends at the latest; both from the request to stop.
    pub fn stop_ms(&self) -> (u64, u64) {
        match self.grace_ms {
            0 => (STOP_UNREADY_MS, STOP_UNREADY_MS + STOP_WAIT_MS),
            grace_ms => (grace_ms * UNREADY_PERCENT / 100, grace_ms * STOP_PERCENT / 100),
        }
    }

    /// The fleet's retry budget: per cent of requests, retries a second besides, and the burst that
    /// can be saved up.
    pub fn retry_budget(&self) -> (u64, u64, u64) {
        if self.retry_window_ms == 0 {
            return (RETRY_PERCENT, RETRIES_PER_S, RETRY_BURST);
        }
        let per_s = self.retry_slack * 1_000 / self.retry_window_ms / 2;
        (self.retry_percent, per_s, self.retry_slack / 4)
    }

    /// How long a voter is unresponsive before a learner that stands ready gets its seat: half of
    /// the time to catch up.
    ///
    /// Of 4 s: if the leader is lost, it takes 1 s until another leads and counts the time, 2 s of
    /// it, and 0.1 s for two log steps, which make 3.1 s after the loss. The new member starts no
    /// earlier than the loss, so 0.9 s remain. A restart takes less than 2 s.
    pub fn voter_dead_ms(&self) -> u64 {
        match self.catch_up_ms {
            0 => VOTER_DEAD_MS,
            catch_up_ms => (catch_up_ms / 2).clamp(VOTER_DEAD_MIN_MS, VOTER_DEAD_MS),
        }
    }

    /// Memory for bodies of requests; as much again is for those of responses.
    pub fn bodies_bytes(&self) -> u64 {
        let quotient = self.memory_bytes.map(|bytes| bytes / BODIES_DIVISOR);
        quotient.map_or(BODIES_BYTES as u64, |bytes| bytes.min(BODIES_BYTES as u64))
    }

    /// Log bytes between two slot writes.
    pub fn log_bytes(&self) -> u64 {
        self.disk_bytes.map_or(LOG_BYTES, |bytes| (bytes / LOG_DIVISOR).min(LOG_BYTES))
    }

    /// Space reserved from the start for each log: the largest bound of a member's log, which is up
    /// to twice `log_bytes`.
    pub fn reserved_log_bytes(&self) -> u64 {
        2 * self.log_bytes()
    }

    /// Space reserved from the start for each slot; with both logs five eighths of the disk.
    pub fn reserved_slot_bytes(&self) -> u64 {
        self.log_bytes() / RESERVED_SLOT_DIVISOR
    }

    /// How long watch events are retained: a quarter longer than the deployment needs.
    pub fn history_ms(&self) -> u64 {
        HISTORY_RETENTION_MS.max(self.history_ms * 5 / 4)
    }

    /// Gap between two requests to the endpoint list.
    pub fn list_gap_ms(&self) -> u64 {
        self.list_gap_ms.map_or(LIST_GAP_MS, |gap_ms| {
            (gap_ms * LIST_GAP_PERCENT / 100).max(LIST_FIRST_SCAN_GAP_MS)
        })
    }
}

#[cfg(test)]
mod tests;
