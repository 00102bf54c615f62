//! Clocks of processes: none shares its zero or its rate with another.

use crate::random::Random;

/// Clocks run up to a hundredth faster than true time: far more than any machine's does.
const RATE_SCALE: u64 = 1_000;
const MAX_RATE: u64 = 11;
const MAX_OFFSET_MS: u64 = 1_000_000;

/// A clock that runs a little fast, from a zero of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset_ms: u64,
    /// By how many thousandths it is fast.
    rate: u64,
}

impl Clock {
    /// Draws a clock's offset and then its rate.
    pub fn draw(random: &mut Random) -> Self {
        let offset_ms = random.below(MAX_OFFSET_MS);
        let rate = random.below(MAX_RATE);
        Clock { offset_ms, rate }
    }

    /// What it shows at this true time in microseconds.
    pub fn local_ms(&self, now_us: u64) -> u64 {
        (now_us + now_us * self.rate / RATE_SCALE) / 1_000 + self.offset_ms
    }
}
