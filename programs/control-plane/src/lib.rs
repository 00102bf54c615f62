//! The control plane: one member of the replicated log with its disk, the fetchers of the endpoint
//! list, and the HTTP listener of operators and applications.
//!
//! Each thread has one job and sends [`command`] entries to the control loop, which alone owns the
//! control node:
//!
//! | module | thread | job |
//! | --- | --- | --- |
//! | [`control_loop`] | `control` | owns the node, carries out its effects |
//! | [`disk_writer`] | `disk` | writes and syncs the log |
//! | [`endpoint_list_fetcher`] | `list N` | fetches pages of the endpoint list |
//! | [`client_listener`] | `clients`, `client` | reads clients' requests, writes the responses |
//!
//! A client's request goes from [`client_listener`] to a [`ClientHandler`] (in Postbarrow's own
//! dialect, [`operator_handler`]), through a [`RequestSender`] to the control loop, and from there
//! to the controller, which may run in another process.

#![deny(missing_docs)]
#![allow(rustdoc::private_intra_doc_links)]

mod client_handler;
mod client_listener;
mod command;
mod control_loop;
mod control_plane;
mod data_folder;
mod dialect;
mod disk_writer;
mod endpoint_list_fetcher;
mod graceful_shutdown;
mod member_health;
pub mod operator_client;
mod operator_handler;
mod plan_submission;
mod rehearsal;
mod request_sender;

pub use client_handler::{ClientHandler, ClientRequest};
pub use client_listener::listen_for_clients;
pub use control_plane::ControlPlane;
pub use dialect::{Dialect, NativeDialect, PageError};
pub use plan_submission::{SubmissionTooLarge, SubmitOptions, to_submission};
pub use postbarrow_transport::{clock_ms, random};
pub use request_sender::RequestSender;
