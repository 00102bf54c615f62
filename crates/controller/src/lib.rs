//! A control-plane node without I/O: a member of the log, and its single writer while it leads.
//!
//! # Use
//!
//! [`ControlNode::handle`] takes one [`Input`] and the time, and returns [`Effect`]s to be carried
//! out in their order. The node reads no clock, opens no file and draws no random number beyond its
//! seed, so the same inputs give the same effects: the simulator and the process run the same code.
//!
//! # Where to look
//!
//! | question | file |
//! | --- | --- |
//! | where is a request accepted, redirected or made to wait? | `control_node/requests.rs` |
//! | where is a submission checked? | `submission_check.rs` |
//! | where is a plan committed, or aborted? | `control_node/plan_commit.rs`, `plan_abort.rs` |
//! | where is a lease granted to a data node? | `control_node/node_lease.rs` |
//! | where does a data node expire? | `control_node/node_expiry.rs` |
//! | where does a lock expire? | `control_node/lock_expiry.rs` |
//! | where is a call decided? | `call_check.rs`, `call_decision.rs` |
//! | where is the endpoint list read? | `endpoint_list/` |
//! | where are old records removed? | `control_node/retention.rs` |
//! | what does only the leader have? | `leader_state.rs`, one owner a file beside it |
//!
//! Files in `control_node/` react to inputs; all others hold state or decide, and know nothing of
//! the node. A commit is final in this term only: until then the leader works on the optimistic
//! state of its [`postbarrow_transactions::Writer`], which is lost with the term.

#![deny(missing_docs)]

mod call_check;
mod call_decision;
mod control_node;
mod effect;
mod endpoint_list;
mod error;
mod input;
mod leader_contact;
mod leader_settings;
mod leader_state;
mod operator_body;
mod origin;
mod peer_directory;
mod plan_delta;
mod routing_updates;
mod snapshot;
mod snapshot_schedule;
mod submission_check;

pub use call_decision::decide;
pub use control_node::ControlNode;
pub use effect::Effect;
pub use endpoint_list::{ListPage, read_page};
pub use input::{Fetched, Input, PageResult};
pub use leader_contact::Contact;
pub use snapshot::PendingSnapshot;
pub use submission_check::{RefusalReason, SubmissionDecision, decide_submission, text_digest};
