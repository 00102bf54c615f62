//! One bound for the bytes of all bodies in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The bytes that bodies may reserve together.
pub struct MemoryBudget {
    max_bytes: u64,
    used_bytes: AtomicU64,
}

/// Reserved bytes, given back when dropped.
pub struct Reserved {
    memory: Arc<MemoryBudget>,
    size_bytes: u64,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: u64) -> Arc<Self> {
        Arc::new(MemoryBudget { max_bytes, used_bytes: AtomicU64::new(0) })
    }

    /// Reserves so many bytes; none if they are not free.
    pub fn reserve(self: &Arc<Self>, size_bytes: u64) -> Option<Reserved> {
        let mut reserved = Reserved { memory: self.clone(), size_bytes: 0 };
        reserved.grow(size_bytes).then_some(reserved)
    }
}

impl Reserved {
    /// Reserves so many bytes more; false, with nothing changed, if they are not free.
    pub fn grow(&mut self, size_bytes: u64) -> bool {
        let max_bytes = self.memory.max_bytes;
        let grown = self.memory.used_bytes.fetch_update(Relaxed, Relaxed, |used| {
            used.checked_add(size_bytes).filter(|used| *used <= max_bytes)
        });
        self.size_bytes += if grown.is_ok() { size_bytes } else { 0 };
        grown.is_ok()
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.size_bytes, Relaxed);
    }
}
