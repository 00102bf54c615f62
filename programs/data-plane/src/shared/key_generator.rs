//! Numbers and idempotency keys that no other request gets.

use postbarrow_state::{Incarnation, Name};
use postbarrow_transport::random;
use sha2::{Digest, Sha256};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Numbers the requests of one incarnation and synthesizes keys from the numbers.
pub struct KeyGenerator {
    incarnation: Incarnation,
    next: AtomicU64,
    /// Never leaves the process, so that a synthesized key can't be guessed.
    secret: [u64; 2],
}

impl KeyGenerator {
    /// The generator of one incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        KeyGenerator { incarnation, next: AtomicU64::new(1), secret: [random(), random()] }
    }

    /// A number that this incarnation never returned before.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Relaxed)
    }

    /// A key for a request without one: no other request gets it, and no client can guess it.
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
