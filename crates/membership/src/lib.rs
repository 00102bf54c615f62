#![doc = include_str!("../README.md")]

mod relay;
mod ring;
mod watch;

pub use relay::{Deliver, NewsEntry, Relay};
pub use ring::{parent, place, watched, watchers};
pub use watch::Watch;
