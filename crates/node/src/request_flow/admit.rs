//! Admit: counts the request for the retry budget and selects the first target.
//!
//! The driver checks the route's limits and the node's capacity before it starts the flow, because
//! a rejection must cost as little as possible.

use super::RequestFlow;
use crate::{FlowContext, Step};

impl RequestFlow {
    pub(super) fn admit(&mut self, context: &FlowContext<'_>) -> Step {
        self.entry.retry_budget.on_request(context.table.nodes());
        self.select_target(context)
    }
}
