//! The state of those who use the cluster: clients of data nodes, applications, operators.

pub mod calls;
pub mod operator;
pub mod pinned;
pub mod plans;
pub mod requests;
