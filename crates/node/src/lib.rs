//! A data-plane node without I/O.
//!
//! | question | module |
//! | --- | --- |
//! | which effects the node returns for its inputs | [`data_node`], with [`input`] and [`effect`] |
//! | when the node's lease ends | `lease` |
//! | which image is published, and which process sends its updates | `image_tail` |
//! | which phases a request goes through | [`request_flow`] |
//! | how a request ends, and what the node knows about its execution | [`completion`] |
//! | which HTTP response the client of a request gets | `response` |
//!
//! The owner of a [`DataNode`] feeds it [`Input`]s and carries out its [`Effect`]s; the driver of a
//! [`RequestFlow`] feeds it [`Event`]s and carries out its [`Step`]s. Neither reads a clock, so the
//! simulator runs the same code as production.

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
pub use response::{KEY_HEADER, OUTCOME_HEADER, REPLAYED_HEADER};
pub use target_response::TargetResponse;
