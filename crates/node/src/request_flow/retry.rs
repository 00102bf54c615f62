//! Retry: whether a further attempt is allowed.
//!
//! A request has at most its route's `tries` attempts, else [`ATTEMPTS`], or [`TICKETED_ATTEMPTS`] for
//! a one-time request. Within them, each retry takes one of the service's retry budget
//! (`postbarrow_routing::retry_budget`), and none follows a client's departure.

use super::RequestFlow;
use crate::{FlowContext, RequestOutcome, Step};
use postbarrow_constants::traffic::{ATTEMPTS, TICKETED_ATTEMPTS};

impl RequestFlow {
    pub(super) fn retry(&mut self, now: &FlowContext<'_>) -> Step {
        if now.client_departed {
            return self.finish(RequestOutcome::ClientDeparted, None);
        }
        let nodes = now.table.nodes();
        let is_last = self.tried.len() >= self.max_attempts();
        if is_last || !self.entry.retry_budget.take(now.now_ms, nodes) {
            let reason = std::mem::take(&mut self.last_failure);
            return self.finish(RequestOutcome::GaveUp(reason), None);
        }
        self.select_target(now)
    }

    fn max_attempts(&self) -> usize {
        let default = if self.is_one_time() { TICKETED_ATTEMPTS } else { ATTEMPTS };
        self.entry.route().max_attempts.map_or(default, |attempts| attempts as usize)
    }
}
