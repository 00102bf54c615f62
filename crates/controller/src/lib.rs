//! A control-plane node without I/O: a member of the replicated log, and the log's single writer
//! while it is the leader. The leader that has the leader's lease is the controller: it serves the
//! requests of data nodes and operators.
//!
//! # Use
//!
//! [`ControlNode::handle`] takes one [`Input`] and the time, and returns [`Effect`]s that the
//! caller carries out in their order. The node reads no clock, opens no file, and draws random
//! numbers only from its seed, so the same inputs give the same effects: the simulator and the
//! process run the same code.
//!
//! # Files
//!
//! | concern | file |
//! | --- | --- |
//! | requests that are accepted, redirected or queued | `control_node/requests.rs` |
//! | the check of a submitted plan | `submission_check.rs` |
//! | the bounds on a plan's size | `plan_size.rs`, and `begin` of the transaction's writer |
//! | the commit or abort of a plan | `control_node/plan_commit.rs`, `plan_abort.rs` |
//! | a committed entry that can't be applied | `apply_failure.rs`, `control_node/apply_failure.rs` |
//! | leases of data nodes | `control_node/node_lease.rs` |
//! | expiry of data nodes | `control_node/node_expiry.rs` |
//! | expiry of locks | `control_node/lock_expiry.rs` |
//! | validation and outcomes of calls | `call_check.rs`, `call_decision.rs` |
//! | order of a lock's release and its owner's starts | `grant_versions.rs` |
//! | the endpoint list | `endpoint_list/` |
//! | removal of old records | `control_node/retention.rs` |
//! | state that only the leader has | `leader_state.rs`, one file per part in `leader_state/` |
//!
//! Files in `control_node/` handle inputs. All others hold state or make decisions, and don't
//! depend on the node. A change is final only once it is committed in the leader's term. Until
//! then the leader works on the proposed state of its [`postbarrow_transactions::Writer`], which
//! includes entries that are not committed yet and is discarded when the term ends. A batch of
//! records is one entry of the Raft log, and its log offset is the entry's index.

#![deny(missing_docs)]

mod apply_failure;
mod call_check;
mod call_decision;
mod control_node;
mod effect;
mod endpoint_list;
mod error;
mod grant_versions;
mod input;
mod leader_contact;
mod leader_settings;
mod leader_state;
mod operator_body;
mod origin;
mod peer_directory;
mod plan_delta;
mod plan_size;
mod routing_updates;
mod snapshot;
mod snapshot_schedule;
mod submission_check;

pub use apply_failure::{ApplyError, ApplyFailure};
pub use call_decision::decide_call;
pub use control_node::ControlNode;
pub use effect::Effect;
pub use endpoint_list::{ListPage, read_page};
pub use grant_versions::GrantVersions;
pub use input::{Fetched, Input, PageResult};
pub use leader_contact::Contact;
pub use snapshot::PendingSnapshot;
pub use submission_check::{RefusalReason, SubmissionDecision, decide_submission, text_digest};
