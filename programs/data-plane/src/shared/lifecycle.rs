//! Graceful shutdown.

use std::sync::atomic::{AtomicBool, Ordering::*};

/// Whether the node is stopping: first unready, then closed to new connections.
#[derive(Default)]
pub struct Lifecycle {
    stopping: AtomicBool,
    closed: AtomicBool,
}

impl Lifecycle {
    /// The node becomes unready; requests are still served.
    pub fn begin_stop(&self) {
        self.stopping.store(true, SeqCst);
    }

    /// Whether the node is unready since it stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Relaxed)
    }

    /// No new client connections are accepted, and idle ones end.
    pub fn close(&self) {
        self.closed.store(true, SeqCst);
    }

    /// Whether new client connections are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(SeqCst)
    }
}
