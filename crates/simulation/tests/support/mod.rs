//! What several searches over simulated clusters share.

pub mod history;
