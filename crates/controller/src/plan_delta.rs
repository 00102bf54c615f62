//! Selects the records of a submitted plan that are written to the log.

use postbarrow_plan::delta;
use postbarrow_state::{Record, State};

/// Returns the records that change the plan in force into the submitted one, or all submitted
/// records if there is no such delta.
pub(crate) fn plan_records(in_force: &State, submitted: Vec<Record>) -> Vec<Record> {
    delta(in_force, &submitted).unwrap_or(submitted)
}
