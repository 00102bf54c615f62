#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod fields;
mod findings;
mod positions;
mod reading;

pub use facet_value::Value;
pub use fields::{Fields, text};
pub use findings::{Finding, Findings};
pub use reading::DocumentReader;
