//! Machines and what surrounds them: control and data nodes, targets, the endpoint list.

pub mod control;
pub mod data;
pub mod endpoint_list;
pub mod slow;
pub mod target;
