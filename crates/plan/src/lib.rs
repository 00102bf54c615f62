//! Route plans: reading and checking, log records, deltas, and the rehearsal against the plan in
//! force.
//!
//! | question | module |
//! | --- | --- |
//! | how a plan's text is read and checked | `plan_reader`, `route_reader`, `route_options`, `weighted_services`, `limits_reader` |
//! | which paths a pattern matches | `pattern` |
//! | which log records represent a plan | `plan` |
//! | which records turn the plan in force into a new plan | `delta`, with `patience_diff` and `splices` |
//! | what a new plan changes for routes and targets | `rehearsal` |
//!
//! Operators rely on the names of JSON fields and the texts of findings, so these must not change.

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
pub use weighted_services::{NoWeight, first_weighted_service};

/// The method name in a plan that matches every method.
pub const ANY_METHOD: &str = "*";
