//! Route plans: reading and checks, records, deltas, and the rehearsal against the plan in force.
//!
//! | question | module |
//! | --- | --- |
//! | what a plan's text must be | `plan_reader`, `route_reader`, `route_options`, `weighted_services`, `limits_reader` |
//! | which paths a pattern matches | `pattern` |
//! | which records a plan is in the log | `plan` |
//! | which records make it from the plan in force | `delta`, by `patience_diff` and `splices` |
//! | what changes for routes and targets | `rehearsal` |
//!
//! Names of fields and texts of findings are the operators' and stay as they are.

#![deny(missing_docs)]

mod delta;
mod limits_reader;
mod patience_diff;
mod pattern;
mod plan;
mod plan_reader;
mod rehearsal;
mod route_options;
mod route_reader;
mod splices;
mod weighted_services;

pub use delta::delta;
pub use patience_diff::{Change, changes};
pub use pattern::{Pattern, PatternError, Segment};
pub use plan::Plan;
pub use rehearsal::{Rehearsal, ServiceRehearsal};
pub use weighted_services::{NoWeight, weights};

/// A route with this method takes every method.
pub const ANY_METHOD: &str = "*";
