#![doc = include_str!("../README.md")]

mod clock;
mod link;
mod listen;
mod slab;

pub use clock::{now_ms, random};
pub use link::Links;
pub use listen::listen;
pub use slab::Slab;
