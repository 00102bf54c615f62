//! HTTP/1.1 connections of clients: heads and bodies are read with deadlines and bounds, and
//! responses are written with their length, so that a truncated one never looks complete.
//!
//! A [`connection::Connection`] yields the [`head`] of the next request; [`body::read`] reads its
//! body within a [`memory_budget`]; a [`client_watch`] observes whether the client still waits.
//! What can't be read is a [`reject::Reject`].

#![deny(missing_docs)]

pub mod body;
pub mod client_watch;
pub mod connection;
pub mod head;
pub mod memory_budget;
pub mod reject;
mod response;
