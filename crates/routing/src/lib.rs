//! From a request to a target, without I/O.
//!
//! Each decision on the way of a request stands in a module of its own, in the order in which a
//! request meets them:
//!
//! | decision | module |
//! | --- | --- |
//! | which route takes the request | [`route_match`] |
//! | whether the route's rate and concurrency admit it | [`limits`] |
//! | which of a route's weighted services gets it | [`entry`] |
//! | which target gets an attempt | [`selection`] |
//! | which targets are passed over after failures or rejections | [`ejection`] |
//! | whether a further attempt is allowed | [`retry_budget`] |
//!
//! A [`Table`] holds all of them for one image of the state; it is built from what the image does
//! not share with the last one and swapped in as a whole. Counters ([`Load`], [`RouteLimits`],
//! [`RetryBudget`]) are atomics that outlive the table, so that a new plan does not reset them.

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
