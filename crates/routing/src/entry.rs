//! One route with all that its requests need, and the draw among its weighted services.
//!
//! A route with several weighted services draws one for each request, in proportion to the weights;
//! services of weight 0 get none. A retry goes to the service that its request drew.

use crate::compiled_route::CompiledRoute;
use crate::resolved_services::ResolvedServices;
use crate::selection::{Candidate, select_target};
use crate::{RetryBudget, mix};
use postbarrow_state::{Name, Route};
use std::sync::Arc;

/// One route with all that its requests need.
pub struct Entry {
    /// The route, its pattern, rule and limits.
    pub compiled: Arc<CompiledRoute>,
    /// The retries of its service, shared with the service's other routes.
    pub retry_budget: Arc<RetryBudget>,
    targets: Arc<Vec<Candidate>>,
    /// Of a route with weighted services: the same route on one service each, by weight.
    weighted: Vec<(u64, Arc<Entry>)>,
}

impl Entry {
    pub(crate) fn new(compiled: Arc<CompiledRoute>, resolved: &ResolvedServices) -> Entry {
        let route = compiled.route.clone();
        let services = route.weighted_services.iter().filter(|service| service.weight > 0);
        let weighted = services.map(|weighted| {
            let on_one = Arc::new(compiled.on_service(&weighted.service));
            let entry = Entry::on_service(on_one, &weighted.service, Vec::new(), resolved);
            (weighted.weight, Arc::new(entry))
        });
        let weighted = weighted.collect();
        Entry::on_service(compiled, &route.service, weighted, resolved)
    }

    fn on_service(
        compiled: Arc<CompiledRoute>,
        service: &Name,
        weighted: Vec<(u64, Arc<Entry>)>,
        resolved: &ResolvedServices,
    ) -> Entry {
        Entry {
            compiled,
            retry_budget: resolved.retry_budget(service).cloned().unwrap_or_default(),
            targets: resolved.candidates(service).cloned().unwrap_or_default(),
            weighted,
        }
    }

    /// Whether it has the very targets and retry budgets that its services have now.
    pub(crate) fn is_resolved_by(&self, resolved: &ResolvedServices) -> bool {
        let service = &self.route().service;
        let targets = resolved.candidates(service);
        let budget = resolved.retry_budget(service);
        targets.is_some_and(|targets| Arc::ptr_eq(targets, &self.targets))
            && budget.is_some_and(|budget| Arc::ptr_eq(budget, &self.retry_budget))
            && self.weighted.iter().all(|(_, entry)| entry.is_resolved_by(resolved))
    }

    /// The route itself.
    pub fn route(&self) -> &Route {
        &self.compiled.route
    }

    /// The entry itself, or of a route with weighted services the one that this seed draws.
    pub fn draw_service(self: &Arc<Self>, seed: u64) -> Arc<Entry> {
        let total: u64 = self.weighted.iter().map(|(weight, _)| weight).sum();
        if total == 0 {
            return self.clone();
        }
        let mut remaining = mix(seed) % total;
        for (weight, entry) in &self.weighted {
            if remaining < *weight {
                return entry.clone();
            }
            remaining -= weight;
        }
        self.clone()
    }

    /// The target for the next attempt of a request, by the rules of [`crate::selection`].
    pub fn select_target(
        &self,
        zone: &str,
        tried: &[Name],
        now_ms: u64,
        seed: u64,
    ) -> Option<Candidate> {
        select_target(&self.targets, zone, tried, now_ms, seed)
    }
}
