//! Tests of the bytes by which the log and its snapshots store this crate's types.
//!
//! The format is MessagePack as `rmp_serde::to_vec` writes it. Structs, and variants with fields,
//! are arrays: their fields are stored by position, so they may be renamed but not reordered.
//! Variants of enums are stored by name: a renamed variant needs `#[serde(rename)]` with its stored
//! name. Therefore the fixtures have a value of every variant.

mod golden;
#[path = "golden/values.rs"]
mod values;

use golden::{Case, case, case_of, check, variants};
use postbarrow_state::{Record, State};
use postbarrow_transactions::BatchRecord;

const CRATE: &str = env!("CARGO_MANIFEST_DIR");

#[test]
fn records_have_the_committed_bytes() {
    check(CRATE, "records.hex", &variants(&values::records()));
}

#[test]
fn variants_within_records_calls_and_outcomes_have_the_committed_bytes() {
    check(CRATE, "settlements.hex", &variants(&values::settlements()));
    check(CRATE, "kinds.hex", &variants(&values::kinds()));
    check(CRATE, "sorts.hex", &variants(&values::resource_kinds()));
    check(CRATE, "changes.hex", &variants(&values::changes()));
    check(CRATE, "calls.hex", &variants(&values::calls()));
    check(CRATE, "outcomes.hex", &variants(&values::outcomes()));
}

#[test]
fn state_has_the_committed_bytes() {
    let cases = [case("full", &values::state()), case("empty", &State::default())];
    check(CRATE, "state.hex", &cases);
}

/// A batch in the log consists of a byte that states the format, and its records.
#[test]
fn batches_have_the_committed_bytes() {
    let data = || values::records().into_iter().map(|(_, record)| BatchRecord::Data(record));
    let batch_of = |name: &str, record: BatchRecord<Record>| batch(name, &[record]);
    let cases = [
        batch_of("Begin", BatchRecord::begin("plan v2")),
        batch_of("Data", data().next().expect("a record")),
        batch_of("End", BatchRecord::End),
        batch_of("Abort", BatchRecord::abort("over the bound")),
    ];
    golden::assert_covers::<BatchRecord<Record>>(&cases);
    let begin = std::iter::once(BatchRecord::begin("plan v2"));
    let complete: Vec<BatchRecord<Record>> =
        begin.chain(data()).chain([BatchRecord::End]).collect();
    let further_cases = [
        batch("Begin without a name", &[BatchRecord::Begin { name: None }]),
        batch("Abort without a reason", &[BatchRecord::Abort { reason: None }]),
        batch("every record", &complete),
        batch("empty", &[]),
    ];
    check(CRATE, "batches.hex", &cases.into_iter().chain(further_cases).collect::<Vec<Case>>());
}

fn batch(name: &str, records: &[BatchRecord<Record>]) -> Case {
    case_of(name, postbarrow_transactions::encode(records), |bytes| {
        let decoded: Vec<BatchRecord<Record>> =
            postbarrow_transactions::decode(bytes).map_err(|error| error.to_string())?;
        Ok(postbarrow_transactions::encode(&decoded))
    })
}
