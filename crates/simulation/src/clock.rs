//! Clocks of processes, each with a zero and a rate of its own.

use crate::random::Random;

/// `Clock::rate` counts thousandths. Clocks run up to a hundredth faster than true time, which is
/// far more than the clock of any real machine does.
const RATE_SCALE: u64 = 1_000;
/// Number of rates that are drawn: 0 to 10 thousandths.
const RATE_COUNT: u64 = 11;
/// Upper bound of a clock's offset, in milliseconds.
const MAX_OFFSET_MS: u64 = 1_000_000;

/// A clock that runs up to a hundredth faster than true time and starts at an offset of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The clock's time at true time zero, in milliseconds.
    offset_ms: u64,
    /// Thousandths by which the clock is faster than true time.
    rate: u64,
}

impl Clock {
    /// Creates a clock with a random offset and rate, drawn in this order.
    pub fn draw(random: &mut Random) -> Self {
        let offset_ms = random.below(MAX_OFFSET_MS);
        let rate = random.below(RATE_COUNT);
        Clock { offset_ms, rate }
    }

    /// Returns the clock's time in milliseconds at this true time in microseconds.
    pub fn local_ms(&self, now_us: u64) -> u64 {
        (now_us + now_us * self.rate / RATE_SCALE) / 1_000 + self.offset_ms
    }
}
