//! Services of an image, resolved to their live targets, loads and retry budgets.

use crate::load::{Loads, carry_over};
use crate::selection::Candidate;
use crate::{RetryBudget, Table};
use postbarrow_state::{Name, Service, State};
use std::collections::HashMap;
use std::sync::Arc;

/// The services of one image, with the loads and retry budgets that their requests share.
#[derive(Default)]
pub(crate) struct ResolvedServices {
    pub loads: Loads,
    candidates: HashMap<Name, Arc<Vec<Candidate>>>,
    retry_budgets: HashMap<Name, Arc<RetryBudget>>,
    /// Number of services whose targets were determined again and not reused.
    pub rebuilt_count: usize,
}

impl ResolvedServices {
    /// Resolves an image's services. If no target has changed, unchanged services keep their
    /// targets.
    pub fn new(state: &State, old: &Table) -> ResolvedServices {
        let old_resolved = old.resolved();
        let same_targets = state.targets.ptr_eq(&old.state.targets);
        let loads = if same_targets {
            old_resolved.loads.clone()
        } else {
            carry_over(&old_resolved.loads, state)
        };
        let mut resolved = ResolvedServices { loads, ..ResolvedServices::default() };
        for (name, service) in &state.services {
            let is_unchanged =
                || old.state.services.get(name).is_some_and(|old_service| old_service == service);
            let reused = old_resolved
                .candidates
                .get(name)
                .filter(|_| same_targets && is_unchanged())
                .cloned();
            let candidates = reused.unwrap_or_else(|| {
                resolved.rebuilt_count += 1;
                Arc::new(candidates(state, service, &resolved.loads))
            });
            resolved.candidates.insert(name.clone(), candidates);
            let budget = old_resolved.retry_budgets.get(name).cloned();
            let budget =
                budget.unwrap_or_else(|| Arc::new(RetryBudget::new(old.retry_allowance())));
            resolved.retry_budgets.insert(name.clone(), budget);
        }
        resolved
    }

    /// Returns the service's live targets; none for an unknown service.
    pub fn candidates(&self, service: &Name) -> Option<&Arc<Vec<Candidate>>> {
        self.candidates.get(service)
    }

    /// Returns the service's retry budget; none for an unknown service.
    pub fn retry_budget(&self, service: &Name) -> Option<&Arc<RetryBudget>> {
        self.retry_budgets.get(service)
    }
}

fn candidates(state: &State, service: &Service, loads: &Loads) -> Vec<Candidate> {
    let live = state.live_targets(service).into_iter();
    let with_load = live.map(|target| {
        let load = loads.get(&target.instance).cloned().unwrap_or_default();
        (target, load)
    });
    with_load.collect()
}
