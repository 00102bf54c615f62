//! Compares the bytes that members store and send to each other with committed fixtures.
//!
//! The encoding is MessagePack, as `rmp_serde::to_vec` writes it: structs, also those within
//! variants, are arrays, so their fields are encoded by position and their names are free to
//! change, while their order is not. Variants of enums are encoded by name: a variant that is
//! renamed needs `#[serde(rename)]` with its present name. The fixtures therefore have a value of
//! every variant.

#[path = "../../state/tests/golden/mod.rs"]
mod golden;
#[path = "golden/values.rs"]
mod values;

use golden::{case, check, variants};

const CRATE: &str = env!("CARGO_MANIFEST_DIR");

#[test]
fn messages_have_the_committed_bytes() {
    check(CRATE, "messages.hex", &variants(&values::messages()));
}

#[test]
fn payloads_and_writes_have_the_committed_bytes() {
    check(CRATE, "payloads.hex", &variants(&values::payloads()));
    check(CRATE, "writes.hex", &variants(&values::writes()));
}

#[test]
fn entries_snapshot_and_hard_state_have_the_committed_bytes() {
    let cases = [
        case("entries", &values::entries(41)),
        case("snapshot", &values::snapshot()),
        case("hard", &values::hard_state(3)),
    ];
    check(CRATE, "parts.hex", &cases);
}
