//! Generates unique request numbers and idempotency keys.

use postbarrow_state::{Incarnation, Name};
use postbarrow_transport::random;
use sha2::{Digest, Sha256};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Generates unique request numbers within one incarnation, and idempotency keys from them.
pub struct KeyGenerator {
    incarnation: Incarnation,
    next: AtomicU64,
    /// Random input to the hash in each key. The secret never leaves the process, so that clients
    /// can't guess a synthesized key.
    secret: [u64; 2],
}

impl KeyGenerator {
    /// Returns a generator for one incarnation, with a new random secret.
    pub fn new(incarnation: Incarnation) -> Self {
        KeyGenerator { incarnation, next: AtomicU64::new(1), secret: [random(), random()] }
    }

    /// Returns a number that was not returned before in this incarnation.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Relaxed)
    }

    /// Returns a unique key, which no client can guess, for a request without a key.
    pub fn synthesize_key(&self) -> Name {
        let number = self.next_number();
        let mut hash = Sha256::new();
        for input in [self.secret[0], self.secret[1], self.incarnation, number] {
            hash.update(input.to_le_bytes());
        }
        let hash = hash.finalize();
        let digits: String = hash.iter().take(12).map(|byte| format!("{byte:02x}")).collect();
        Name::from(format!("made-{:x}-{number}-{digits}", self.incarnation))
    }
}
