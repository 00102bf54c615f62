//! When a control node takes a snapshot.

mod harness;
use harness::*;
use postbarrow_constants::consensus::SNAPSHOT_ENCODE_MAX_MS;

/// Below what one plan writes.
const SMALL_BYTES: u64 = 200;

#[test]
fn a_restart_with_a_long_log_takes_a_snapshot_once_entries_are_applied() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 20, "ledger"));
    harness.run_until_idle();
    let entries = harness.entries.clone();
    let mut next = Harness::new(recovered(&[1], entries, 2));
    next.set_log_bound(SMALL_BYTES);
    next.tick(1);
    assert_eq!(
        (next.node.consensus().commit_index(), next.encoded),
        (0, 0),
        "nothing is applied yet"
    );
    next.become_leader();
    assert!(next.encoded > 0, "the restored log counts");
}

#[test]
fn a_snapshot_is_due_after_an_entry_without_a_tick() {
    let mut harness = Harness::serving();
    harness.set_log_bound(SMALL_BYTES);
    let before = harness.encoded;
    harness.submit(1, &plan("v1", None, 20, "ledger"));
    for _ in 0..20 {
        harness.sync();
    }
    assert_eq!(harness.state().plan_version(), Some("v1"));
    assert!(harness.encoded > before, "a transaction may be open at every tick");
}

#[test]
fn an_encoding_is_requested_again_only_after_its_timeout() {
    let mut harness = Harness::serving();
    harness.set_log_bound(SMALL_BYTES);
    harness.submit(1, &plan("v1", None, 20, "ledger"));
    harness.run_until_idle();
    harness.submit(2, &plan("v2", Some("v1"), 21, "ledger"));
    harness.run_until_idle();
    assert_eq!(harness.encoded, 1);
    harness.tick(SNAPSHOT_ENCODE_MAX_MS);
    assert_eq!(harness.encoded, 2);
}
