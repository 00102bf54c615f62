//! From a request to a target: match, limits, pick, and the budget of retries.

mod compiled_route;
mod heads;
mod limits;
mod resolved;
mod retry_budget;
mod selection;
mod table;
mod traffic_rehearsal;

pub use limits::{LimitExceeded, RouteLimits};
pub use retry_budget::{RetryAllowance, RetryBudget};
pub use selection::{Load, Loads};
pub use table::{BuildStatistics, Entry, RouteMatch, Table};
pub use traffic_rehearsal::{RecentRequests, RouteTraffic, Traffic};

/// A small generator for picks; quality matters less than a short path.
pub fn mix(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
