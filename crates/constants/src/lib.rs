//! All tunable constants of postbarrow, with the unit in the name and the reason in the comment.

#![deny(missing_docs)]

pub mod consensus;
pub mod coordination;
pub mod nodes;
pub mod plans;
pub mod traffic;
