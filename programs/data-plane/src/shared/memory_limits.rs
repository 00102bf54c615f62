//! Budgets of bytes for bodies.

use postbarrow_downstream::memory_budget::MemoryBudget;
use std::sync::Arc;

/// How many bytes of bodies this node buffers at once.
pub struct MemoryLimits {
    /// Of requests.
    pub request_bodies: Arc<MemoryBudget>,
    /// Of responses.
    pub response_bodies: Arc<MemoryBudget>,
}

impl MemoryLimits {
    /// The same budget for requests and for responses.
    pub fn new(bytes: u64) -> Self {
        MemoryLimits {
            request_bodies: MemoryBudget::new(bytes),
            response_bodies: MemoryBudget::new(bytes),
        }
    }
}
