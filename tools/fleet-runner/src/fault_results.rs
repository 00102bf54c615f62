//! What the faults of one run brought to light.

/// A target that the endpoint list showed as draining.
pub struct Drain {
    /// The target's instance name.
    pub instance: String,
    /// When the list showed it, on the wall clock.
    pub listed_ms: u64,
}

/// What the faults of one run brought to light.
#[derive(Default)]
pub struct FaultResults {
    /// Targets that were drained.
    pub drains: Vec<Drain>,
    /// For each accepted plan, from its acknowledgement until all ready nodes followed it.
    pub in_force_ms: Vec<u64>,
    /// Faults that were not injected or not survived.
    pub violations: Vec<String>,
    /// The text of the last plan that was acknowledged.
    pub plan: String,
    /// How many faults were drawn.
    pub drawn: usize,
}
