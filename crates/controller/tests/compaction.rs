//! When a control node requests that a snapshot is encoded.

mod harness;
use harness::*;
use postbarrow_constants::consensus::SNAPSHOT_ENCODE_MAX_MS;

/// A bound of the log in bytes that the records of one plan exceed.
const LOG_BOUND_BYTES: u64 = 200;

#[test]
fn a_restart_with_a_long_log_takes_a_snapshot_once_entries_are_applied() {
    let mut harness = Harness::serving();
    harness.submit(1, &plan("v1", None, 20, "ledger"));
    harness.run_until_idle();
    let entries = harness.entries.clone();
    let mut restarted = Harness::new(recovered(&[1], entries, 2));
    restarted.set_log_bound(LOG_BOUND_BYTES);
    restarted.tick(1);
    assert_eq!(
        (restarted.node.consensus().commit_index(), restarted.encoded),
        (0, 0),
        "a snapshot was taken before an entry was applied"
    );
    restarted.become_leader();
    assert!(restarted.encoded > 0, "the restored log does not count towards the bound");
}

#[test]
fn a_snapshot_is_due_after_an_entry_without_a_tick() {
    let mut harness = Harness::serving();
    harness.set_log_bound(LOG_BOUND_BYTES);
    let before = harness.encoded;
    harness.submit(1, &plan("v1", None, 20, "ledger"));
    for _ in 0..20 {
        harness.sync();
    }
    assert_eq!(harness.state().plan_version(), Some("v1"));
    assert!(
        harness.encoded > before,
        "no snapshot without a tick, though a transaction may be open at every tick"
    );
}

#[test]
fn an_encoding_is_requested_again_only_after_its_timeout() {
    let mut harness = Harness::serving();
    harness.set_log_bound(LOG_BOUND_BYTES);
    harness.submit(1, &plan("v1", None, 20, "ledger"));
    harness.run_until_idle();
    harness.submit(2, &plan("v2", Some("v1"), 21, "ledger"));
    harness.run_until_idle();
    assert_eq!(harness.encoded, 1);
    harness.tick(SNAPSHOT_ENCODE_MAX_MS);
    assert_eq!(harness.encoded, 2);
}
