//! Which records of a submitted plan go into the log.

use postbarrow_plan::delta;
use postbarrow_state::{Record, State};

/// Only what differs from the plan in force; all records where there is no such delta.
pub(crate) fn plan_records(in_force: &State, submitted: Vec<Record>) -> Vec<Record> {
    delta(in_force, &submitted).unwrap_or(submitted)
}
