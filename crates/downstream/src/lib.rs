//! One HTTP/1.1 connection of a caller: heads and bodies read with deadlines and bounds, responses
//! written so that a cut one never looks whole.

#![deny(missing_docs)]

pub mod body;
pub mod client_watch;
pub mod connection;
pub mod head;
pub mod memory_budget;
