//! Counts of consecutive failed probes, by target.

use postbarrow_constants::nodes::PROBE_FAILURES;
use postbarrow_state::{Name, State};
use std::collections::BTreeMap;

/// Counts of consecutive failed probes, by target; a successful probe removes its target.
#[derive(Default)]
pub(crate) struct ProbeFailures {
    failures_by_target: BTreeMap<Name, u32>,
}

impl ProbeFailures {
    pub fn on_probed(&mut self, instance: Name, succeeded: bool) {
        if succeeded {
            self.failures_by_target.remove(&instance);
        } else {
            *self.failures_by_target.entry(instance).or_default() += 1;
        }
    }

    /// Returns the targets of the image that this node reports as failing: those with at least
    /// [`PROBE_FAILURES`] consecutive failed probes.
    pub fn failing(&self, state: &State) -> Vec<Name> {
        let failing = self.failures_by_target.iter().filter(|(instance, count)| {
            **count >= PROBE_FAILURES && state.targets.contains_key(*instance)
        });
        failing.map(|(instance, _)| instance.clone()).collect()
    }
}
