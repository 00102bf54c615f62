//! Services resolved to their live targets, loads and budgets.

use crate::selection::{Candidate, Loads, carry};
use crate::{RetryBudget, Table};
use postbarrow_state::{Name, Service, State};
use std::collections::HashMap;
use std::sync::Arc;

#[derive(Default)]
pub(crate) struct Resolved {
    pub loads: Loads,
    pub choices: HashMap<Name, Arc<Vec<Candidate>>>,
    pub budgets: HashMap<Name, Arc<RetryBudget>>,
    /// Services whose targets were looked for anew.
    pub rebuilt: usize,
}

impl Resolved {
    /// While no target changed, services that stayed keep what they had.
    pub fn new(state: &State, old: &Table) -> Resolved {
        let before = old.resolved();
        let same_targets = state.targets.ptr_eq(&old.state.targets);
        let loads = if same_targets { before.loads.clone() } else { carry(&before.loads, state) };
        let mut resolved = Resolved { loads, ..Resolved::default() };
        for (name, service) in &state.services {
            let stays = || old.state.services.get(name).is_some_and(|kept| kept == service);
            let kept = before.choices.get(name).filter(|_| same_targets && stays()).cloned();
            let choices = kept.unwrap_or_else(|| {
                resolved.rebuilt += 1;
                Arc::new(choices(state, service, &resolved.loads))
            });
            resolved.choices.insert(name.clone(), choices);
            let budget = before.budgets.get(name).cloned();
            let budget = budget.unwrap_or_else(|| Arc::new(RetryBudget::new(old.extra())));
            resolved.budgets.insert(name.clone(), budget);
        }
        resolved
    }
}

fn choices(state: &State, service: &Service, loads: &Loads) -> Vec<Candidate> {
    let live = state.live_targets(service).into_iter();
    let with_load = live.map(|target| {
        let load = loads.get(&target.instance).cloned().unwrap_or_default();
        (target, load)
    });
    with_load.collect()
}
