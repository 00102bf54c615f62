//! Whether the cluster is in full service.

use crate::world::World;
use std::collections::BTreeSet;

impl World {
    /// Whether all data nodes are ready and serve one version of the plan.
    pub fn has_full_service(&self) -> bool {
        let versions: BTreeSet<_> =
            self.data.iter().map(|machine| machine.table.state.plan_version()).collect();
        (0..self.data.len()).all(|at| self.is_ready(at)) && versions.len() == 1
    }
}
