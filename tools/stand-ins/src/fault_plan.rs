//! Which requests of a target get which fault.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tools_shared::{SPLITMIX_INCREMENT, TargetFault, UnknownTargetFault, finalize};

/// Draws a target's faults from a seed.
pub struct FaultPlan {
    per_mille: u64,
    faults: Vec<TargetFault>,
    state: AtomicU64,
}

impl FaultPlan {
    /// `names` are faults with commas between them, `per_mille` the faulty in a thousand requests.
    ///
    /// # Errors
    /// When a name is no fault's.
    pub fn parse(names: &str, per_mille: u64, seed: u64) -> Result<Self, UnknownTargetFault> {
        let names = names.split(',').filter(|name| !name.is_empty());
        let faults: Result<Vec<TargetFault>, _> = names.map(str::parse).collect();
        Ok(FaultPlan { per_mille, faults: faults?, state: AtomicU64::new(seed | 1) })
    }

    /// The next request's fault, if it gets one.
    pub fn draw(&self) -> Option<TargetFault> {
        let drawn = finalize(self.state.fetch_add(SPLITMIX_INCREMENT, Relaxed));
        if self.faults.is_empty() || drawn % 1_000 >= self.per_mille {
            return None;
        }
        Some(self.faults[(drawn / 1_000) as usize % self.faults.len()])
    }
}
