//! Control machines, data machines, targets and the endpoint list.

pub mod control;
pub mod data;
pub mod endpoint_list;
pub mod slow;
pub mod target;
