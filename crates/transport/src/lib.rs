#![doc = include_str!("../README.md")]

mod clock;
mod link;
mod listen;
mod slab;
mod unheard;

pub use clock::{clock_ms, random};
pub use link::Links;
pub use listen::listen;
pub use slab::Slab;
pub use unheard::give_up_unheard;
