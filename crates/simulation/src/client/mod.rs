//! The state of the cluster's users: clients that send requests, applications and operators.

pub mod calls;
pub mod operator;
pub mod pinned;
pub mod plans;
pub mod requests;
