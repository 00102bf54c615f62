//! The bounds of a deployment, and the limits of a process that are derived from them.

use postbarrow_constants::consensus::{LOG_BYTES, VOTER_DEAD_MIN_MS, VOTER_DEAD_MS};
use postbarrow_constants::coordination::HISTORY_RETENTION_MS;
use postbarrow_constants::nodes::{LIST_FIRST_SCAN_GAP_MS, LIST_GAP_MS, NODE_LEASE_MS};
use postbarrow_constants::traffic::*;

/// The bounds that a deployment sets. For a bound that is not set, Postbarrow's own constant holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// Milliseconds from when the endpoint list marks a target as draining to the target's last
    /// request; 0: not set.
    pub drain_ms: u64,
    /// Milliseconds from a plan's acknowledgement until it is in force on every node; 0: not set.
    pub in_force_ms: u64,
    /// Milliseconds from the request to stop until the process must have exited; 0: not set.
    pub grace_ms: u64,
    /// Milliseconds from a new member's start until the next machine may be lost; 0: not set.
    pub catch_up_ms: u64,
    /// The least time for which watch events must be retained, in milliseconds; 0: not set.
    pub history_ms: u64,
    /// Allowed retries, in percent of a service's requests.
    pub retry_percent: u64,
    /// The window in which retries are counted, in milliseconds; 0: the retry budget is not set.
    pub retry_window_ms: u64,
    /// Allowed retries in each window in addition to the percentage.
    pub retry_slack: u64,
    /// How many machines with a disk may be lost at once.
    pub max_losses: usize,
    /// Memory of the process in bytes; none: not set.
    pub memory_bytes: Option<u64>,
    /// Disk space of the process in bytes; none: not set.
    pub disk_bytes: Option<u64>,
    /// Shortest gap that the endpoint list permits between two requests, in milliseconds; none: not
    /// set.
    pub list_gap_ms: Option<u64>,
}

/// A node's lease, in percent of the smaller of the drain and in-force bounds. The remainder is for
/// the update to reach the node.
const LEASE_PERCENT: u64 = 60;
/// Percentage of the grace period for which a stopping process is seen as unready before its
/// listener closes.
const UNREADY_PERCENT: u64 = 42;
/// Percentage of the grace period after which a stopping process has exited at the latest. The
/// remainder is a margin before the process is killed.
const STOP_PERCENT: u64 = 92;
/// Divisor of a process's memory: a quarter is for request bodies, and another quarter for response
/// bodies.
const BODIES_DIVISOR: u64 = 4;
/// Divisor of a disk's space: an eighth is for the log between two slot writes, so that two slots
/// and two logs fit on the disk together. A slot is a file that stores a member's whole state.
const LOG_DIVISOR: u64 = 8;
/// Divisor of the log bytes between two slot writes: half of them are reserved for a slot. A slot
/// has the state that results from a log's records, most of which are outdated.
const RESERVED_SLOT_DIVISOR: u64 = 2;
/// The gap between two requests to the endpoint list, in percent of the shortest gap that the list
/// permits: longer, since two controllers may overlap.
const LIST_GAP_PERCENT: u64 = 130;

impl Bounds {
    /// Returns a node's lease in milliseconds: how long it serves on one response of the
    /// controller.
    pub fn node_lease_ms(&self) -> u64 {
        let bound_ms = [self.drain_ms, self.in_force_ms].into_iter().filter(|ms| *ms > 0).min();
        bound_ms.map_or(NODE_LEASE_MS, |ms| (ms * LEASE_PERCENT / 100).max(NODE_LEASE_MS))
    }

    /// Returns how long a stopping node is unready before it closes its listener, and after how
    /// long the process has exited at the latest, both in milliseconds from the request to stop.
    pub fn shutdown_times_ms(&self) -> (u64, u64) {
        match self.grace_ms {
            0 => (STOP_UNREADY_MS, STOP_UNREADY_MS + STOP_WAIT_MS),
            grace_ms => (grace_ms * UNREADY_PERCENT / 100, grace_ms * STOP_PERCENT / 100),
        }
    }

    /// Returns the retry budget of the fleet: a percentage of requests, additional retries per
    /// second, and the largest number of retries that can be saved up for a burst.
    pub fn retry_budget(&self) -> (u64, u64, u64) {
        if self.retry_window_ms == 0 {
            return (RETRY_PERCENT, RETRIES_PER_S, RETRY_BURST);
        }
        let per_s = self.retry_slack * 1_000 / self.retry_window_ms / 2;
        (self.retry_percent, per_s, self.retry_slack / 4)
    }

    /// Returns how long a voter is unresponsive, in milliseconds, before a learner that has caught
    /// up replaces it: half of the time to catch up, from `VOTER_DEAD_MIN_MS` to `VOTER_DEAD_MS`.
    ///
    /// For a time to catch up of 4 s: if the leader is lost, it takes 1 s until another member
    /// leads and starts to measure, 2 s to measure, and 0.1 s for two steps in the log, in total
    /// 3.1 s after the loss. The new member starts no earlier than the loss, so 0.9 s remain. A
    /// restart takes less than 2 s.
    pub fn voter_dead_ms(&self) -> u64 {
        match self.catch_up_ms {
            0 => VOTER_DEAD_MS,
            catch_up_ms => (catch_up_ms / 2).clamp(VOTER_DEAD_MIN_MS, VOTER_DEAD_MS),
        }
    }

    /// Returns the memory for request bodies in bytes. Response bodies get the same amount in
    /// addition.
    pub fn bodies_bytes(&self) -> u64 {
        let quotient = self.memory_bytes.map(|bytes| bytes / BODIES_DIVISOR);
        quotient.map_or(BODIES_BYTES as u64, |bytes| bytes.min(BODIES_BYTES as u64))
    }

    /// Returns the bytes of log between two slot writes.
    pub fn log_bytes(&self) -> u64 {
        self.disk_bytes.map_or(LOG_BYTES, |bytes| (bytes / LOG_DIVISOR).min(LOG_BYTES))
    }

    /// Returns the bytes reserved from the start for each log: the largest bound of a member's log,
    /// which is up to twice `log_bytes`.
    pub fn reserved_log_bytes(&self) -> u64 {
        2 * self.log_bytes()
    }

    /// Returns the bytes reserved from the start for each slot. Both slots and both logs together
    /// take at most five eighths of the disk.
    pub fn reserved_slot_bytes(&self) -> u64 {
        self.log_bytes() / RESERVED_SLOT_DIVISOR
    }

    /// Returns how long watch events are retained, in milliseconds: a quarter longer than the
    /// deployment requires, and at least `HISTORY_RETENTION_MS`.
    pub fn history_ms(&self) -> u64 {
        HISTORY_RETENTION_MS.max(self.history_ms * 5 / 4)
    }

    /// Returns the gap between two requests to the endpoint list, in milliseconds.
    pub fn list_gap_ms(&self) -> u64 {
        self.list_gap_ms.map_or(LIST_GAP_MS, |gap_ms| {
            (gap_ms * LIST_GAP_PERCENT / 100).max(LIST_FIRST_SCAN_GAP_MS)
        })
    }
}

#[cfg(test)]
mod tests;
