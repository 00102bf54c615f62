//! The bytes of what the log and its snapshots store of this crate's types.
//!
//! MessagePack, as `rmp_serde::to_vec` writes it: structs, also those within variants, are arrays,
//! so their fields are stored by position and their names are free to change, while their order is
//! not. Variants of enums are stored by name: a variant that is renamed needs `#[serde(rename)]`
//! with its stored name. So there is a value of every variant here.

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

/// A batch as the log contains it: a byte for the format, then its lines.
#[test]
fn batches_have_the_committed_bytes() {
    let data = || values::records().into_iter().map(|(_, record)| BatchRecord::Data(record));
    let line = |name: &str, line: BatchRecord<Record>| batch(name, &[line]);
    let cases = [
        line("Begin", BatchRecord::begin("plan v2")),
        line("Data", data().next().expect("a record")),
        line("End", BatchRecord::End),
        line("Abort", BatchRecord::abort("over the bound")),
    ];
    golden::assert_covers::<BatchRecord<Record>>(&cases);
    let begin = std::iter::once(BatchRecord::begin("plan v2"));
    let complete: Vec<BatchRecord<Record>> =
        begin.chain(data()).chain([BatchRecord::End]).collect();
    let more = [
        batch("Begin without a name", &[BatchRecord::Begin { name: None }]),
        batch("Abort without a reason", &[BatchRecord::Abort { reason: None }]),
        batch("every record", &complete),
        batch("empty", &[]),
    ];
    check(CRATE, "batches.hex", &cases.into_iter().chain(more).collect::<Vec<Case>>());
}

fn batch(name: &str, lines: &[BatchRecord<Record>]) -> Case {
    case_of(name, postbarrow_transactions::encode(lines), |bytes| {
        let lines: Vec<BatchRecord<Record>> =
            postbarrow_transactions::decode(bytes).map_err(|error| error.to_string())?;
        Ok(postbarrow_transactions::encode(&lines))
    })
}
