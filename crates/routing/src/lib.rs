//! Routing: finds the route of a request and selects its target, without I/O.
//!
//! Each decision about a request has its own module, listed here in the order in which the
//! decisions are made:
//!
//! | decision | module |
//! | --- | --- |
//! | which route matches the request | [`route_match`] |
//! | whether the route's rate and concurrency limits admit the request | [`limits`] |
//! | which of a route's weighted services gets the request | [`entry`] |
//! | which target gets the next attempt | [`selection`] |
//! | which targets are skipped after failures or rejections | [`ejection`] |
//! | whether another attempt is allowed | [`retry_budget`] |
//!
//! A [`Table`] holds the data of all these decisions for one image of the state. A new table reuses
//! what its image shares with the previous image, and replaces the old table as a whole. Counters
//! ([`Load`], [`RouteLimits`], [`RetryBudget`]) are atomics that outlive the table, so that a new
//! plan does not reset them.

#![deny(missing_docs)]

pub mod compiled_route;
pub mod ejection;
pub mod entry;
pub mod limits;
pub mod load;
mod mix;
mod resolved_services;
pub mod retry_budget;
pub mod route_match;
mod rule_headers;
pub mod selection;
pub mod table;
pub mod traffic_rehearsal;

pub use ejection::Ejection;
pub use entry::Entry;
pub use limits::{LimitExceeded, RouteLimits};
pub use load::{Load, Loads};
pub use mix::mix;
pub use retry_budget::{RetryAllowance, RetryBudget};
pub use route_match::RouteMatch;
pub use selection::{Candidate, select_target};
pub use table::{BuildStatistics, Table};
pub use traffic_rehearsal::{RecentRequests, RouteTraffic, Traffic};
