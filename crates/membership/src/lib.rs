#![doc = include_str!("../README.md")]

mod failure_detector;
mod relay;
mod ring;

pub use failure_detector::FailureDetector;
pub use relay::{Delivery, Relay, UpdateEntry};
pub use ring::{parent, ring_position, watched, watchers};
