//! Memory budgets for request and response bodies.

use postbarrow_downstream::memory_budget::MemoryBudget;
use std::sync::Arc;

/// The limits for the bodies that this node buffers at the same time, in bytes.
pub struct MemoryLimits {
    /// The budget for the bodies of requests.
    pub request_bodies: Arc<MemoryBudget>,
    /// The budget for the bodies of responses.
    pub response_bodies: Arc<MemoryBudget>,
}

impl MemoryLimits {
    /// Returns separate budgets of `bytes` each for requests and for responses.
    pub fn new(bytes: u64) -> Self {
        MemoryLimits {
            request_bodies: MemoryBudget::new(bytes),
            response_bodies: MemoryBudget::new(bytes),
        }
    }
}
