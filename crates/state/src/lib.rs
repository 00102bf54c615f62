//! The replicated state: plans, targets, nodes, tickets, locks, numbers and keys.
//!
//! The log contains `Record`s; `State` is their result, in persistent maps whose clones share
//! their content, so that a clone is a cheap image (see `postbarrow_transactions::Image`). Both are
//! stored: fields of structs by position, variants of enums by name.
//!
//! | file | what it does |
//! | --- | --- |
//! | `record.rs` | the records |
//! | `apply_record.rs` | applies a record; `apply_record/` has a method a record, by concern |
//! | `state.rs` | the state, and what is read from it |
//! | `splice.rs` | how a plan's delta edits routes and text |
//! | `accepted_plans.rs` | which plans were accepted and refused |
//! | `plan.rs`, `target.rs`, `node.rs`, `ticket.rs`, `coordination.rs` | the values within the state |
//! | `call.rs` | an application's call, and its outcome |
//! | `request_sample.rs` | a client request as it is reported for rehearsals |
#![deny(missing_docs)]

mod accepted_plans;
mod apply_record;
mod call;
mod coordination;
mod node;
mod plan;
mod record;
mod request_sample;
mod splice;
mod state;
mod target;
mod ticket;

pub use accepted_plans::{AcceptedPlan, RefusedPlan};
pub use call::{Call, Outcome};
pub use coordination::{Change, Event, Events, Key, Lock, ResourceKind};
pub use node::Node;
pub use plan::{ClientLimits, PlanHead, Route, RouteKind, Service, WeightedService};
pub use record::Record;
pub use request_sample::Sample;
pub use splice::{RouteSplice, Splice, TextSplice};
pub use state::State;
pub use target::Target;
pub use ticket::{Settlement, StoredResponse, Ticket};

use compact_str::CompactString;
use std::collections::BTreeMap;

/// A short text: a name, version, instance or key.
pub type Name = CompactString;
/// One run of one process, from start to end; a number that no other run has.
pub type Incarnation = u64;
/// Labels of a target, or those that a service requires of its targets.
pub type Labels = BTreeMap<Name, Name>;
/// A SHA-256 digest.
pub type Digest = [u8; 32];
