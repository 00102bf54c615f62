//! Keys of the requests that one incarnation of a process sends.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Draws a unique key for each request of one incarnation, from any thread. Keys start at random
/// bits, so that a response to an earlier incarnation at the same address matches none of this one;
/// and none is drawn twice, so that a late response matches no other request.
#[derive(Debug)]
pub struct RequestKeys {
    incarnation: u64,
    drawn: AtomicU64,
}

impl RequestKeys {
    /// `incarnation` is drawn at random for each process.
    pub fn new(incarnation: u64) -> RequestKeys {
        RequestKeys { incarnation, drawn: AtomicU64::new(0) }
    }

    /// A key that was not drawn before in this incarnation.
    pub fn next(&self) -> u64 {
        let number = self.drawn.fetch_add(1, Relaxed).wrapping_add(1);
        self.incarnation.wrapping_add(number)
    }
}

#[cfg(test)]
mod tests;
