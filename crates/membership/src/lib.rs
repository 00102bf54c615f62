#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod failure_detector;
mod relay;
mod ring;
mod subscription;
mod update_log;

pub use failure_detector::FailureDetector;
pub use relay::{Delivery, Relay};
pub use ring::{parent, ring_position, watched, watchers};
pub use update_log::UpdateEntry;
