//! Select target: the target of the next attempt.

use super::{Phase, RequestFlow, Selected};
use crate::{FlowContext, RequestOutcome, Step};
use postbarrow_routing::mix;

impl RequestFlow {
    /// Targets come from the entry that the request started with, checked against the present image.
    pub(super) fn select_target(&mut self, now: &FlowContext<'_>) -> Step {
        if now.client_departed {
            return self.finish(RequestOutcome::ClientDeparted, None);
        }
        if !now.serves {
            return self.finish(RequestOutcome::Unready, None);
        }
        if self.remaining_ms(now) == 0 {
            return self.finish(RequestOutcome::DeadlinePassed, None);
        }
        loop {
            let seed = mix(self.context.seed ^ self.tried.len() as u64);
            let (zone, tried) = (&self.context.zone, &self.tried);
            let Some((target, load)) = self.entry.select_target(zone, tried, now.now_ms, seed)
            else {
                let reason = std::mem::take(&mut self.last_failure);
                return self.finish(RequestOutcome::NoTarget(reason), None);
            };
            self.tried.push(target.instance.clone());
            if now.table.allows(&self.entry.route().service, &target.instance) {
                let selected = Selected { target: target.clone(), load: load.clone() };
                self.phase = Phase::Connect(selected);
                return Step::Connect { target, load, wait_ms: self.remaining_ms(now) };
            }
        }
    }
}
