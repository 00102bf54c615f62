//! Bytes of bodies under one bound.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Bytes of bodies this node holds, under one bound.
pub struct MemoryBudget {
    max_bytes: u64,
    used_bytes: AtomicU64,
}

/// A part of that memory, given back when dropped.
pub struct Reserved {
    memory: Arc<MemoryBudget>,
    size_bytes: u64,
}

impl MemoryBudget {
    /// Memory of so many bytes.
    pub fn new(most_bytes: u64) -> Arc<Self> {
        Arc::new(MemoryBudget { max_bytes: most_bytes, used_bytes: AtomicU64::new(0) })
    }

    /// Takes a part, if it is free.
    pub fn reserve(self: &Arc<Self>, size_bytes: u64) -> Option<Reserved> {
        let mut reserved = Reserved { memory: self.clone(), size_bytes: 0 };
        reserved.grow(size_bytes).then_some(reserved)
    }
}

impl Reserved {
    /// Takes more for it, if that is free.
    pub fn grow(&mut self, size_bytes: u64) -> bool {
        let most = self.memory.max_bytes;
        let grown = self.memory.used_bytes.fetch_update(Relaxed, Relaxed, |used| {
            used.checked_add(size_bytes).filter(|used| *used <= most)
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
