//! Checks for tests that search simulated clusters for violations.

pub mod history;
