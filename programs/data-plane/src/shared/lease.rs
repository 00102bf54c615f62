//! The node's lease.

use postbarrow_transport::clock_ms;
use std::sync::atomic::{AtomicU64, Ordering::*};

/// Until when this node may serve; expired until the first renewal.
#[derive(Default)]
pub struct Lease {
    until_ms: AtomicU64,
}

impl Lease {
    /// Sets the end, in milliseconds of the boot-time clock.
    pub fn set_until(&self, until_ms: u64) {
        self.until_ms.store(until_ms, Release);
    }

    /// Whether the node may serve now; evaluated last, right before what the lease allows.
    pub fn is_valid(&self) -> bool {
        clock_ms() < self.until_ms.load(Acquire)
    }
}
