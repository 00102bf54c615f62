//! Links between processes over TCP, a clock that jumps can't move, and the slab of continuations.

mod clock;
mod link;
mod listen;
mod slab;

pub use clock::{now_ms, random};
pub use link::Links;
pub use listen::listen;
pub use slab::Slab;
