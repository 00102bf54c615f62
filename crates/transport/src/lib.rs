#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod clock;
mod essential_thread;
mod link;
mod listen;
mod poll;
mod request_keys;
mod tcp_timeouts;

pub use clock::{clock_ms, random};
pub use essential_thread::{PANIC_STATUS, spawn_essential};
pub use link::Links;
pub use listen::listen;
pub use poll::{Interest, Readiness, poll};
pub use request_keys::RequestKeys;
pub use tcp_timeouts::{enable_keepalive, set_unacknowledged_timeout};
