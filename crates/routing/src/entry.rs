//! A routing entry: one route with the data that its requests need, and the draw among its weighted
//! services.
//!
//! A route with several weighted services draws one of them for each request, with probabilities in
//! proportion to the weights; services of weight 0 get no requests. A retry goes to the service
//! that was drawn for its request.

use crate::compiled_route::CompiledRoute;
use crate::resolved_services::ResolvedServices;
use crate::selection::{Candidate, select_target};
use crate::{RetryBudget, mix};
use postbarrow_state::{Name, Route};
use std::sync::Arc;

/// One route with the data that its requests need.
pub struct Entry {
    /// The route, its pattern, rule and limits.
    pub compiled: Arc<CompiledRoute>,
    /// The retry budget of the route's service, shared with the service's other routes.
    pub retry_budget: Arc<RetryBudget>,
    targets: Arc<Vec<Candidate>>,
    /// Weights and entries of the weighted services; each entry is the same route with only that
    /// service. Empty for a route without weighted services.
    weighted: Vec<(u64, Arc<Entry>)>,
}

impl Entry {
    pub(crate) fn new(compiled: Arc<CompiledRoute>, resolved: &ResolvedServices) -> Entry {
        let route = compiled.route.clone();
        let services = route.weighted_services.iter().filter(|service| service.weight > 0);
        let weighted = services.map(|weighted| {
            let compiled_for_service = Arc::new(compiled.for_service(&weighted.service));
            let entry =
                Entry::for_service(compiled_for_service, &weighted.service, Vec::new(), resolved);
            (weighted.weight, Arc::new(entry))
        });
        let weighted = weighted.collect();
        Entry::for_service(compiled, &route.service, weighted, resolved)
    }

    fn for_service(
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

    /// Returns whether this entry shares the targets and retry budgets that its services have now,
    /// so that it can be reused.
    pub(crate) fn is_resolved_by(&self, resolved: &ResolvedServices) -> bool {
        let service = &self.route().service;
        let targets = resolved.candidates(service);
        let budget = resolved.retry_budget(service);
        targets.is_some_and(|targets| Arc::ptr_eq(targets, &self.targets))
            && budget.is_some_and(|budget| Arc::ptr_eq(budget, &self.retry_budget))
            && self.weighted.iter().all(|(_, entry)| entry.is_resolved_by(resolved))
    }

    /// Returns the route as the plan defines it.
    pub fn route(&self) -> &Route {
        &self.compiled.route
    }

    /// Returns the entry of the weighted service that this seed draws; the entry itself if its
    /// route has no weighted services.
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

    /// Selects the target for the next attempt of a request, by the rules of [`crate::selection`];
    /// none if all were tried.
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
