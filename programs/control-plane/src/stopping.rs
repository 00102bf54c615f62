//! A planned stop: operators get their answers while leadership and seat go to others.

use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::coordination::{ANSWER_WRITE_MS, SUBMIT_WAIT_MS};

/// Decides when a process that was asked to stop may end. Handing over begins with the request to
/// stop, so that neither wait comes on top of the other within the process's grace.
#[derive(Debug)]
pub struct GracefulShutdown {
    /// No operator's request is waited for after this.
    requests_until_ms: u64,
    /// No heir and no learner is waited for after this.
    hand_over_until_ms: u64,
    /// When the last open request was seen closed: its answer may still be on its way out.
    requests_closed_ms: Option<u64>,
}

impl GracefulShutdown {
    pub fn new(now_ms: u64) -> GracefulShutdown {
        GracefulShutdown {
            requests_until_ms: now_ms + SUBMIT_WAIT_MS,
            hand_over_until_ms: now_ms + LEADERSHIP_TRANSFER_MS,
            requests_closed_ms: None,
        }
    }

    /// Whether the process may end, with so many requests open at its door.
    pub fn may_end(&mut self, now_ms: u64, open_requests: usize, has_handed_over: bool) -> bool {
        let handed_over = has_handed_over || now_ms >= self.hand_over_until_ms;
        self.requests_are_answered(now_ms, open_requests) && handed_over
    }

    fn requests_are_answered(&mut self, now_ms: u64, open_requests: usize) -> bool {
        if open_requests > 0 {
            self.requests_closed_ms = None;
            return now_ms >= self.requests_until_ms;
        }
        let closed_ms = *self.requests_closed_ms.get_or_insert(now_ms);
        now_ms >= closed_ms + ANSWER_WRITE_MS
    }
}

#[cfg(test)]
mod tests;
