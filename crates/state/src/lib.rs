//! The replicated state: plans, targets, nodes, tickets, locks, numbers and keys.
//!
//! The log contains `Record`s, and `State` is the result of applying them. It consists of
//! persistent maps whose clones share their content, so a clone is a cheap image (see
//! `postbarrow_transactions::Image`). Both types are stored: fields of structs by position,
//! variants of enums by name.
//!
//! | file | what it does |
//! | --- | --- |
//! | `record.rs` | the records |
//! | `apply_record.rs` | applies a record; `apply_record/` has one method per kind of record |
//! | `state.rs` | the state, and queries on it |
//! | `splice.rs` | the edits of routes and text in a plan's delta |
//! | `accepted_plans.rs` | the plans that were accepted or refused |
//! | `plan.rs`, `target.rs`, `node.rs`, `ticket.rs`, `coordination.rs` | the values within the state |
//! | `call.rs` | applications' calls, and their outcomes |
//! | `request_sample.rs` | samples of client requests, reported for rehearsals |
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
pub use call::{Call, GrantVersion, Outcome};
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

/// A short text: a name, version, instance or idempotency key.
pub type Name = CompactString;
/// A number that identifies one run of one process, from start to end.
pub type Incarnation = u64;
/// Labels of a target, or the labels that a service requires of its targets, by label name.
pub type Labels = BTreeMap<Name, Name>;
/// A SHA-256 digest.
pub type Digest = [u8; 32];
