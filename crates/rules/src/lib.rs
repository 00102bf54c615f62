#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod bounds;
mod error;
mod rule;

pub use error::RuleError;
pub use rule::{FUNCTIONS, RequestFacts, Rule, VARIABLES};
