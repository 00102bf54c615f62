//! Retry: decides whether another attempt is allowed.
//!
//! A plan may set the largest number of attempts of a route's requests (`tries`). If it sets none,
//! a request has at most [`ATTEMPTS_MAX`] attempts, or [`TICKETED_ATTEMPTS`] if it is a one-time
//! request. Each retry is also charged to the service's retry budget
//! (`postbarrow_routing::retry_budget`). There is no retry after the client has departed.

use super::RequestFlow;
use crate::{FlowContext, RequestOutcome, Step};
use postbarrow_constants::traffic::{ATTEMPTS_MAX, TICKETED_ATTEMPTS};

impl RequestFlow {
    pub(super) fn retry(&mut self, context: &FlowContext<'_>) -> Step {
        if context.client_departed {
            return self.finish(RequestOutcome::ClientDeparted, None);
        }
        let nodes = context.table.nodes();
        let is_last = self.tried.len() >= self.max_attempts();
        if is_last || !self.entry.retry_budget.take(context.now_ms, nodes) {
            let reason = std::mem::take(&mut self.last_failure);
            return self.finish(RequestOutcome::GaveUp(reason), None);
        }
        self.select_target(context)
    }

    fn max_attempts(&self) -> usize {
        let default = if self.is_one_time() { TICKETED_ATTEMPTS } else { ATTEMPTS_MAX };
        self.entry.route().max_attempts.map_or(default, |attempts| attempts as usize)
    }
}
