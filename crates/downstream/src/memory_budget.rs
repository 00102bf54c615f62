//! A limit for the total size of the bodies in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The total number of bytes that bodies may reserve at the same time.
pub struct MemoryBudget {
    max_bytes: u64,
    used_bytes: AtomicU64,
}

/// Bytes reserved from a [`MemoryBudget`], released when dropped.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    size_bytes: u64,
}

impl MemoryBudget {
    /// Returns a budget of `max_bytes` bytes, with none reserved.
    pub fn new(max_bytes: u64) -> Arc<Self> {
        Arc::new(MemoryBudget { max_bytes, used_bytes: AtomicU64::new(0) })
    }

    /// Reserves `size_bytes` bytes, or returns `None` if that many are not free.
    pub fn reserve(self: &Arc<Self>, size_bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), size_bytes: 0 };
        reservation.grow(size_bytes).then_some(reservation)
    }
}

impl Reservation {
    /// Reserves `size_bytes` more bytes. Returns false and changes nothing if that many are not
    /// free.
    pub fn grow(&mut self, size_bytes: u64) -> bool {
        let max_bytes = self.budget.max_bytes;
        let grown = self.budget.used_bytes.fetch_update(Relaxed, Relaxed, |used| {
            used.checked_add(size_bytes).filter(|used| *used <= max_bytes)
        });
        self.size_bytes += if grown.is_ok() { size_bytes } else { 0 };
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.size_bytes, Relaxed);
    }
}
