//! Keys of the requests that one incarnation of a process sends.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Issues a unique key for each request of one incarnation, from any thread. Keys start at random
/// bits, so that a response to an earlier incarnation at the same address matches no request of
/// this one. No key is issued twice, so that a late response matches no other request.
#[derive(Debug)]
pub struct RequestKeys {
    incarnation: u64,
    issued: AtomicU64,
}

impl RequestKeys {
    /// Creates the source of keys for an incarnation, a random number that each process draws when
    /// it starts.
    pub fn new(incarnation: u64) -> RequestKeys {
        RequestKeys { incarnation, issued: AtomicU64::new(0) }
    }

    /// Returns a key that was not issued before in this incarnation.
    pub fn next(&self) -> u64 {
        let number = self.issued.fetch_add(1, Relaxed).wrapping_add(1);
        self.incarnation.wrapping_add(number)
    }
}

#[cfg(test)]
mod tests;
