//! A pseudo-random number generator whose numbers are the same on every machine for the same seed.

/// A generator of pseudo-random numbers, from which all random choices of a run are drawn.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator whose numbers depend on this seed alone.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0x9e37_79b9_7f4a_7c15)
    }

    /// Returns the next number (SplitMix64).
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 to `count - 1`; 0 if `count` is 0.
    pub fn below(&mut self, count: u64) -> u64 {
        self.draw() % count.max(1)
    }

    /// Returns a number from `min` to `max`, both included.
    pub fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    /// Returns `true` with a probability of `per_mille` thousandths.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }
}
