//! From a request to a target: match, limits, pick, and the budget of retries.

mod budget;
mod heads;
mod limits;
mod made;
mod pick;
mod rehearse;
mod resolved;
mod table;

pub use budget::{Budget, Extra};
pub use limits::{Limits, Refusal};
pub use pick::{Load, Loads};
pub use rehearse::{Recent, RouteTraffic, Traffic};
pub use table::{Entry, Found, Table, Work};

/// A small generator for picks; quality matters less than a short path.
pub fn mix(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
