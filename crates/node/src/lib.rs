//! A data-plane node without I/O.
//!
//! | question | module |
//! | --- | --- |
//! | how the node's inputs lead to effects | [`data_node`], with [`input`] and [`effect`] |
//! | when the node's lease ends | `lease` |
//! | which image is published, and from whom its updates come | `image_tail` |
//! | which phases a request goes through | [`request_flow`] |
//! | how a request ends, and what that says of its execution | [`completion`] |
//! | which HTTP response its client gets | `response` |
//!
//! The owner of a [`DataNode`] feeds it [`Input`]s and carries out its [`Effect`]s; the driver of a
//! [`RequestFlow`] feeds it [`Event`]s and carries out its [`Step`]s. Neither reads a clock, so the
//! simulator runs both as they are.

#![deny(missing_docs)]

pub mod completion;
pub mod data_node;
pub mod effect;
pub mod flow_step;
mod image_tail;
pub mod input;
mod lease;
mod probe_failures;
pub mod request_flow;
mod request_samples;
mod response;
pub mod target_response;

pub use completion::{Completion, ExecutionEvidence, RequestOutcome};
pub use data_node::DataNode;
pub use effect::Effect;
pub use flow_step::{AttemptOutcome, Event, FlowContext, RequestContext, Step, TicketSettlement};
pub use input::Input;
pub use request_flow::RequestFlow;
pub use response::{KEY, OUTCOME, REPLAYED};
pub use target_response::TargetResponse;
