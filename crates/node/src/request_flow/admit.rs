//! Admit: the request starts.
//!
//! The driver has checked the route's limits and the node's capacity before, since a rejection there
//! must cost as little as possible.

use super::RequestFlow;
use crate::{FlowContext, Step};

impl RequestFlow {
    pub(super) fn admit(&mut self, now: &FlowContext<'_>) -> Step {
        self.entry.retry_budget.on_request(now.table.nodes());
        self.select_target(now)
    }
}
