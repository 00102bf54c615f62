//! When a control node takes a snapshot.

mod bench;
use bench::*;
use postbarrow_constants::consensus::SNAPSHOT_ENCODE_MAX_MS;

/// Below what one plan writes.
const SMALL_BYTES: u64 = 200;

#[test]
fn a_start_with_a_long_log_takes_its_snapshot_once_it_has_applied_entries() {
    let mut bench = Bench::serving();
    bench.submit(1, &plan("v1", None, 20, "ledger"));
    bench.settle();
    let entries = bench.entries.clone();
    let mut next = Bench::new(recovered(&[1], entries, 2));
    next.bound(SMALL_BYTES);
    next.tick(1);
    assert_eq!(
        (next.node.consensus().commit_index(), next.encoded),
        (0, 0),
        "nothing is applied yet"
    );
    next.lead();
    assert!(next.encoded > 0, "the log that it read counts");
}

#[test]
fn a_snapshot_waits_for_no_tick() {
    let mut bench = Bench::serving();
    bench.bound(SMALL_BYTES);
    let before = bench.encoded;
    bench.submit(1, &plan("v1", None, 20, "ledger"));
    for _ in 0..20 {
        bench.sync();
    }
    assert_eq!(bench.state().plan_version(), Some("v1"));
    assert!(bench.encoded > before, "a transaction may be open at every pulse");
}

#[test]
fn an_encoder_that_never_ended_is_asked_again_and_one_at_work_is_not() {
    let mut bench = Bench::serving();
    bench.bound(SMALL_BYTES);
    bench.submit(1, &plan("v1", None, 20, "ledger"));
    bench.settle();
    bench.submit(2, &plan("v2", Some("v1"), 21, "ledger"));
    bench.settle();
    assert_eq!(bench.encoded, 1);
    bench.tick(SNAPSHOT_ENCODE_MAX_MS);
    assert_eq!(bench.encoded, 2);
}
