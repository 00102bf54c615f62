//! Graceful shutdown: clients get their responses while leadership and the voter seat are
//! transferred.

use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::coordination::{RESPONSE_WRITE_MS, SUBMIT_WAIT_MS};

/// Decides when a stopping process may exit. Its waits for pending requests and for the transfers
/// both start when the stop is requested, so that they don't add up within the process's grace
/// period.
#[derive(Debug)]
pub struct GracefulShutdown {
    /// When the process stops waiting for pending client requests, in milliseconds of the boot-time
    /// clock.
    requests_deadline_ms: u64,
    /// When the process stops waiting for a successor to lead and for a learner to take its voter
    /// seat, in milliseconds of the boot-time clock.
    transfer_deadline_ms: u64,
    /// Since when no request has been pending, in milliseconds of the boot-time clock; the last
    /// response may not be written out yet. None while requests are pending.
    idle_since_ms: Option<u64>,
}

impl GracefulShutdown {
    /// Creates a shutdown that is requested at `now_ms` of the boot-time clock.
    pub fn new(now_ms: u64) -> GracefulShutdown {
        GracefulShutdown {
            requests_deadline_ms: now_ms + SUBMIT_WAIT_MS,
            transfer_deadline_ms: now_ms + LEADERSHIP_TRANSFER_MS,
            idle_since_ms: None,
        }
    }

    /// Returns whether the process may exit, given the number of its pending requests and whether
    /// it has transferred its leadership and its voter seat.
    pub fn may_exit(&mut self, now_ms: u64, pending_requests: usize, is_transferred: bool) -> bool {
        let is_transferred = is_transferred || now_ms >= self.transfer_deadline_ms;
        self.are_requests_answered(now_ms, pending_requests) && is_transferred
    }

    fn are_requests_answered(&mut self, now_ms: u64, pending_requests: usize) -> bool {
        if pending_requests > 0 {
            self.idle_since_ms = None;
            return now_ms >= self.requests_deadline_ms;
        }
        let idle_since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms >= idle_since_ms + RESPONSE_WRITE_MS
    }
}

#[cfg(test)]
mod tests;
