//! The faults that a target injects, drawn for each request.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tools_shared::{SPLITMIX_INCREMENT, TargetFault, UnknownTargetFault, finalize};

/// The faults that one target can inject, and the state of the SplitMix64 generator that draws
/// them.
pub struct FaultGenerator {
    per_mille: u64,
    faults: Vec<TargetFault>,
    state: AtomicU64,
}

impl FaultGenerator {
    /// Returns a generator that draws from the faults with these names, separated by commas, for
    /// `per_mille` of a thousand requests.
    ///
    /// # Errors
    /// When a name is not that of a fault.
    pub fn parse(names: &str, per_mille: u64, seed: u64) -> Result<Self, UnknownTargetFault> {
        let names = names.split(',').filter(|name| !name.is_empty());
        let faults: Result<Vec<TargetFault>, _> = names.map(str::parse).collect();
        Ok(FaultGenerator { per_mille, faults: faults?, state: AtomicU64::new(seed | 1) })
    }

    /// Draws the fault of the next request; `None` if the request gets none.
    pub fn draw(&self) -> Option<TargetFault> {
        let drawn = finalize(self.state.fetch_add(SPLITMIX_INCREMENT, Relaxed));
        if self.faults.is_empty() || drawn % 1_000 >= self.per_mille {
            return None;
        }
        Some(self.faults[(drawn / 1_000) as usize % self.faults.len()])
    }
}
