//! HTTP/1.1 connections of clients. Heads and bodies are read with deadlines and size limits, and
//! responses are written with their length, so that a truncated response never looks complete.
//!
//! A [`connection::Connection`] returns the [`head`] of the next request; [`body::read`] reads its
//! body within a [`memory_budget`]; a [`client_watch`] detects that the client has departed, and
//! [`controller_request`] sends requests to the controller while it has not. A request that can't be
//! read results in a [`reject::Reject`].

#![deny(missing_docs)]

pub mod body;
pub mod client_watch;
pub mod connection;
pub mod controller_request;
pub mod head;
pub mod memory_budget;
pub mod reject;
mod response;
#[cfg(test)]
mod test_sockets;
