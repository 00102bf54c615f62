//! The code that the load generator, the fleet runner and the stand-ins share: the execution
//! records that stand-in targets write and the other tools read, the faults of stand-in targets,
//! HTTP client settings, seeded pseudo-random numbers, digests and the wall clock.

#![deny(missing_docs)]

mod execution_record;
#[cfg(feature = "http-client")]
mod http_client;
mod target_fault;

pub use execution_record::{ExecutionRecord, WorkEnd};
#[cfg(feature = "http-client")]
pub use http_client::client_config;
pub use target_fault::{TargetFault, UnknownTargetFault};

use sha2::{Digest, Sha256};
use std::time::{SystemTime, UNIX_EPOCH};

/// The constant by which SplitMix64 advances its state.
pub const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the first output of SplitMix64 with this seed.
pub fn mix(seed: u64) -> u64 {
    finalize(seed.wrapping_add(SPLITMIX_INCREMENT))
}

/// Returns the output of SplitMix64 for this state, for callers that advance the state themselves.
pub fn finalize(state: u64) -> u64 {
    let mut mixed = state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the SHA-256 of these bytes, in lower-case hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the milliseconds since the Unix epoch by the wall clock; 0 if the clock is before it.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
