use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Bytes of bodies this node holds, under one bound.
pub struct Memory {
    mostBytes: u64,
    usedBytes: AtomicU64,
}

pub struct Reserved {
    memory: Arc<Memory>,
    sizeBytes: u64,
}

impl Memory {
    pub fn new(mostBytes: u64) -> Arc<Self> {
        Arc::new(Memory { mostBytes, usedBytes: AtomicU64::new(0) })
    }

    pub fn reserve(self: &Arc<Self>, sizeBytes: u64) -> Option<Reserved> {
        let mut reserved = Reserved { memory: self.clone(), sizeBytes: 0 };
        reserved.grow(sizeBytes).then_some(reserved)
    }
}

impl Reserved {
    pub fn grow(&mut self, sizeBytes: u64) -> bool {
        let most = self.memory.mostBytes;
        let grown = self.memory.usedBytes.fetch_update(Relaxed, Relaxed, |used| {
            used.checked_add(sizeBytes).filter(|used| *used <= most)
        });
        self.sizeBytes += if grown.is_ok() { sizeBytes } else { 0 };
        grown.is_ok()
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.memory.usedBytes.fetch_sub(self.sizeBytes, Relaxed);
    }
}
