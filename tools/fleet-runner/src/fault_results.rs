//! The results of the faults of one run.

/// A target that the endpoint list showed as draining.
pub struct Drain {
    /// The instance name of the target.
    pub instance: String,
    /// When the list first showed the target as draining, in milliseconds of the wall clock.
    pub listed_ms: u64,
}

/// The observations that were made while the faults of one run were injected.
#[derive(Default)]
pub struct FaultResults {
    /// The targets that were drained.
    pub drains: Vec<Drain>,
    /// For each acknowledged plan, the time until all ready data nodes followed it, in
    /// milliseconds.
    pub in_force_ms: Vec<u64>,
    /// One text for each fault that could not be injected or from which the fleet did not recover.
    pub violations: Vec<String>,
    /// The text of the last plan that a control node acknowledged.
    pub plan: String,
    /// The number of faults whose injection was started.
    pub injections: usize,
}
