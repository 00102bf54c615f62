//! Select target: selects the target of the next attempt.

use super::{Phase, RequestFlow, Selected};
use crate::{FlowContext, RequestOutcome, Step};
use postbarrow_routing::mix;

impl RequestFlow {
    /// Selects among the targets of the entry that the request started with, and skips those that
    /// the current image no longer allows.
    pub(super) fn select_target(&mut self, context: &FlowContext<'_>) -> Step {
        if context.client_departed {
            return self.finish(RequestOutcome::ClientDeparted, None);
        }
        if !context.has_lease {
            return self.finish(RequestOutcome::Unready, None);
        }
        if self.remaining_ms(context) == 0 {
            return self.finish(RequestOutcome::DeadlinePassed, None);
        }
        loop {
            let seed = mix(self.request_context.seed ^ self.tried.len() as u64);
            let (zone, tried) = (&self.request_context.zone, &self.tried);
            let Some((target, load)) = self.entry.select_target(zone, tried, context.now_ms, seed)
            else {
                let reason = std::mem::take(&mut self.last_failure);
                return self.finish(RequestOutcome::NoTarget(reason), None);
            };
            self.tried.push(target.instance.clone());
            if context.table.allows(&self.entry.route().service, &target.instance) {
                let selected = Selected { target: target.clone(), load: load.clone() };
                self.phase = Phase::Connect(selected);
                return Step::Connect { target, load, wait_ms: self.remaining_ms(context) };
            }
        }
    }
}
