//! Keys of the questions that one life of a process asks others.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Gives each question of this process's life a key of its own, from any thread. Keys begin at
/// random bits, so that an answer to a question of an earlier life at the same address finds none
/// of this one; and none comes twice, so that a late answer finds no other question.
#[derive(Debug)]
pub struct RequestKeys {
    incarnation: u64,
    drawn: AtomicU64,
}

impl RequestKeys {
    /// `life` is drawn at random for each process.
    pub fn new(incarnation: u64) -> RequestKeys {
        RequestKeys { incarnation, drawn: AtomicU64::new(0) }
    }

    /// A key that never came before in this life.
    pub fn next(&self) -> u64 {
        let number = self.drawn.fetch_add(1, Relaxed).wrapping_add(1);
        self.incarnation.wrapping_add(number)
    }
}

#[cfg(test)]
mod tests;
