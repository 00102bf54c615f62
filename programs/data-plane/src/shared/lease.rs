//! The lease within which a node may serve requests.

use postbarrow_transport::clock_ms;
use std::sync::atomic::{AtomicU64, Ordering::*};

/// The lease of this node, which is expired until it is first granted.
#[derive(Default)]
pub struct Lease {
    until_ms: AtomicU64,
}

impl Lease {
    /// Sets the end of the lease, in milliseconds of the boot-time clock.
    pub fn set_until(&self, until_ms: u64) {
        self.until_ms.store(until_ms, Release);
    }

    /// Returns whether the lease is valid now. Callers check this last, directly before the action
    /// that the lease permits.
    pub fn is_valid(&self) -> bool {
        clock_ms() < self.until_ms.load(Acquire)
    }
}
