use postbarrow_constants::consensus::{LOG_BYTES, VOTER_DEAD_MIN_MS, VOTER_DEAD_MS};
use postbarrow_constants::coordination::HISTORY_RETENTION_MS;
use postbarrow_constants::nodes::{LIST_FIRST_SCAN_GAP_MS, LIST_GAP_MS, NODE_LEASE_MS};
use postbarrow_constants::traffic::*;

/// Bounds that a deployment sets; what it leaves open is the product's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// From a mark in the list to the last ask; 0: the product's own.
    pub drain_ms: u64,
    /// From a plan's acknowledgement until it is in force on every node.
    pub in_force_ms: u64,
    /// From the wish to stop to the end.
    pub grace_ms: u64,
    /// From a newcomer's start until the next machine may be lost; 0: the product's own.
    pub catch_up_ms: u64,
    /// Watch events are kept at least so long.
    pub history_ms: u64,
    /// Extra goes: so many per cent of a service's asks, and a number in each window beside.
    pub retry_percent: u64,
    pub retry_window_ms: u64,
    pub retry_slack: u64,
    /// Disk machines that may be lost at once.
    pub max_losses: usize,
    pub memory_bytes: Option<u64>,
    pub disk_bytes: Option<u64>,
    /// Between two questions to the list.
    pub list_gap_ms: Option<u64>,
}

/// Of the nearer of both bounds, so much is the node's lease: the rest is for the way of the news.
const LEASE_PERCENT: u64 = 60;
/// Of the time to stop, so much is for being seen as unready, and so much in all.
const UNREADY_PERCENT: u64 = 42;
const STOP_PERCENT: u64 = 92;
/// A quarter of a process's memory for bodies of requests, and one for those of responses.
const BODIES_DIVISOR: u64 = 4;
/// An eighth of a disk for the log between two slots: two slots and two logs fit beside each other.
const LOG_DIVISOR: u64 = 8;
/// A slot gets so much of the log's bound: its state is what a log's records made, most of them old.
const RESERVED_SLOT_DIVISOR: u64 = 2;

/// The list is asked with gaps longer by this than its rate permits: two controllers may overlap.
const LIST_GAP_PERCENT: u64 = 130;

impl Bounds {
    /// How long a node serves on one answer of the controller.
    pub fn node_lease_ms(&self) -> u64 {
        let given = [self.drain_ms, self.in_force_ms].into_iter().filter(|ms| *ms > 0).min();
        given.map_or(NODE_LEASE_MS, |ms| (ms * LEASE_PERCENT / 100).max(NODE_LEASE_MS))
    }

    /// How long a stopping node is unready before it closes its door, and when it ends at last.
    pub fn stop_ms(&self) -> (u64, u64) {
        match self.grace_ms {
            0 => (STOP_UNREADY_MS, STOP_UNREADY_MS + STOP_WAIT_MS),
            grace_ms => (grace_ms * UNREADY_PERCENT / 100, grace_ms * STOP_PERCENT / 100),
        }
    }

    /// Extra goes of the fleet: per cent of asks, a second, and saved up.
    pub fn retry_budget(&self) -> (u64, u64, u64) {
        if self.retry_window_ms == 0 {
            return (RETRY_PERCENT, RETRIES_PER_S, RETRY_BURST);
        }
        let per_s = self.retry_slack * 1_000 / self.retry_window_ms / 2;
        (self.retry_percent, per_s, self.retry_slack / 4)
    }

    /// Silence after which a voter's seat goes to a learner that stands ready.
    ///
    /// Half of the time to catch up. Of 4 s: if the leader is lost, 1 s until another leads and
    /// counts the silence, 2 s of silence, and two log steps of 0.1 s make 3.1 s after the loss. The
    /// newcomer starts no earlier than the loss, so 0.9 s are left. A restart takes less than 2 s.
    pub fn voter_dead_ms(&self) -> u64 {
        match self.catch_up_ms {
            0 => VOTER_DEAD_MS,
            catch_up_ms => (catch_up_ms / 2).clamp(VOTER_DEAD_MIN_MS, VOTER_DEAD_MS),
        }
    }

    pub fn bodies_bytes(&self) -> u64 {
        let part = self.memory_bytes.map(|bytes| bytes / BODIES_DIVISOR);
        part.map_or(BODIES_BYTES as u64, |part| part.min(BODIES_BYTES as u64))
    }

    pub fn log_bytes(&self) -> u64 {
        self.disk_bytes.map_or(LOG_BYTES, |bytes| (bytes / LOG_DIVISOR).min(LOG_BYTES))
    }

    /// Space kept from the start for each log: the largest bound of a member's log, which is up to
    /// twice `log_bytes`.
    pub fn reserved_log_bytes(&self) -> u64 {
        2 * self.log_bytes()
    }

    /// Space kept from the start for each slot; with both logs five eighths of the disk.
    pub fn reserved_slot_bytes(&self) -> u64 {
        self.log_bytes() / RESERVED_SLOT_DIVISOR
    }

    pub fn history_ms(&self) -> u64 {
        HISTORY_RETENTION_MS.max(self.history_ms * 5 / 4)
    }

    pub fn list_gap_ms(&self) -> u64 {
        self.list_gap_ms.map_or(LIST_GAP_MS, |gap_ms| {
            (gap_ms * LIST_GAP_PERCENT / 100).max(LIST_FIRST_SCAN_GAP_MS)
        })
    }
}

#[cfg(test)]
mod tests;
