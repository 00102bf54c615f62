//! Every tunable of postbarrow, with its unit in the name and its reason beside it.

#![deny(missing_docs)]

pub mod consensus;
pub mod coordination;
pub mod nodes;
pub mod plans;
pub mod traffic;
