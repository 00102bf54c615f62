#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod client;
mod on_response;
mod pending_request;
mod refusal;
mod retry;

pub use client::{ControllerClient, Effect};
