//! Failed probes in a row, by target.

use postbarrow_constants::nodes::PROBE_FAILURES;
use postbarrow_state::{Name, State};
use std::collections::BTreeMap;

/// Failed probes in a row, by target; a successful one removes the target.
#[derive(Default)]
pub(crate) struct ProbeFailures {
    by_target: BTreeMap<Name, u32>,
}

impl ProbeFailures {
    pub fn on_probed(&mut self, instance: Name, is_sound: bool) {
        if is_sound {
            self.by_target.remove(&instance);
        } else {
            *self.by_target.entry(instance).or_default() += 1;
        }
    }

    /// Targets of the image that this node reports as failing: [`PROBE_FAILURES`] in a row.
    pub fn failing(&self, state: &State) -> Vec<Name> {
        let failing = self.by_target.iter().filter(|(instance, count)| {
            **count >= PROBE_FAILURES && state.targets.contains_key(*instance)
        });
        failing.map(|(instance, _)| instance.clone()).collect()
    }
}
