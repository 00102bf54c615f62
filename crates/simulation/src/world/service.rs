//! The condition of full service.

use crate::world::World;
use std::collections::BTreeSet;

impl World {
    /// Returns whether all data nodes are ready and serve the same version of the plan.
    pub fn has_full_service(&self) -> bool {
        let versions: BTreeSet<_> =
            self.data.iter().map(|machine| machine.table.state.plan_version()).collect();
        (0..self.data.len()).all(|at| self.is_ready(at)) && versions.len() == 1
    }
}
