//! The progress of a graceful shutdown.

use std::sync::atomic::{AtomicBool, Ordering::*};

/// The stages of a graceful shutdown: the node first becomes unready, then is closed to new
/// connections.
#[derive(Default)]
pub struct Lifecycle {
    stopping: AtomicBool,
    closed: AtomicBool,
}

impl Lifecycle {
    /// Makes the node unready; it still serves requests.
    pub fn begin_stop(&self) {
        self.stopping.store(true, SeqCst);
    }

    /// Returns whether the node is stopping, and therefore unready.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Relaxed)
    }

    /// Closes the node to new client connections, and makes it close idle ones.
    pub fn close(&self) {
        self.closed.store(true, SeqCst);
    }

    /// Returns whether the node is closed to new client connections.
    pub fn is_closed(&self) -> bool {
        self.closed.load(SeqCst)
    }
}
