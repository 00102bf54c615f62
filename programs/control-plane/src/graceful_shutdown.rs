//! Graceful shutdown: operators get their responses while leadership and seat are transferred.

use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::coordination::{ANSWER_WRITE_MS, SUBMIT_WAIT_MS};

/// Decides when a process that was requested to stop may end. Both of its waits start with the
/// request, so that neither comes on top of the other within the process's grace period.
#[derive(Debug)]
pub struct GracefulShutdown {
    /// After this the process does not wait for requests of operators.
    requests_deadline_ms: u64,
    /// After this the process waits neither for a successor nor for a learner.
    transfer_deadline_ms: u64,
    /// When the last request stopped being pending: its response may not be written out yet.
    idle_since_ms: Option<u64>,
}

impl GracefulShutdown {
    /// A shutdown that was requested now.
    pub fn new(now_ms: u64) -> GracefulShutdown {
        GracefulShutdown {
            requests_deadline_ms: now_ms + SUBMIT_WAIT_MS,
            transfer_deadline_ms: now_ms + LEADERSHIP_TRANSFER_MS,
            idle_since_ms: None,
        }
    }

    /// Whether the process may end, given its pending requests and whether it has transferred its
    /// leadership and its seat.
    pub fn may_end(&mut self, now_ms: u64, pending_requests: usize, is_transferred: bool) -> bool {
        let is_transferred = is_transferred || now_ms >= self.transfer_deadline_ms;
        self.are_requests_answered(now_ms, pending_requests) && is_transferred
    }

    fn are_requests_answered(&mut self, now_ms: u64, pending_requests: usize) -> bool {
        if pending_requests > 0 {
            self.idle_since_ms = None;
            return now_ms >= self.requests_deadline_ms;
        }
        let idle_since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms >= idle_since_ms + ANSWER_WRITE_MS
    }
}

#[cfg(test)]
mod tests;
