//! Selects the records of a submitted plan that are written to the log.

use postbarrow_plan::delta;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchRecord, split};

/// Returns the batches that change the plan in force into the submitted one, or those of all
/// submitted records if there is no such delta.
pub(crate) fn plan_batches(
    in_force: &State,
    submitted: Vec<Record>,
) -> Vec<Vec<BatchRecord<Record>>> {
    let records = delta(in_force, &submitted).unwrap_or(submitted);
    let to_data = |batch: Vec<Record>| batch.into_iter().map(BatchRecord::Data).collect();
    split(records).into_iter().map(to_data).collect()
}
