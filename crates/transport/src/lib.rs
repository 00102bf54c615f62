#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod clock;
mod link;
mod listen;
mod poll;
mod question_keys;
mod unheard;

pub use clock::{clock_ms, random};
pub use link::Links;
pub use listen::listen;
pub use poll::{Interest, Readiness, poll};
pub use question_keys::QuestionKeys;
pub use unheard::{give_up_unheard, probe_the_silent};
