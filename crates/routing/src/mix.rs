//! The pseudo-random generator of all draws: one step of SplitMix64.

/// Returns the pseudo-random number of a seed, by SplitMix64's increment and finalizer. Draws of
/// targets need a uniform distribution and little computation, not unpredictability.
pub fn mix(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
