//! Tests of `graceful_shutdown`.

use super::*;

#[test]
fn a_process_may_exit_once_responses_are_written_and_leadership_is_transferred() {
    let mut shutdown = GracefulShutdown::new(1_000);
    assert!(!shutdown.may_exit(1_000, 0, true), "the last response may still be written");
    assert!(!shutdown.may_exit(1_000 + RESPONSE_WRITE_MS, 0, false), "no other member leads yet");
    assert!(shutdown.may_exit(1_000 + RESPONSE_WRITE_MS, 0, true));
}

#[test]
fn a_pending_request_delays_the_exit_for_a_bounded_time() {
    let mut shutdown = GracefulShutdown::new(1_000);
    assert!(!shutdown.may_exit(1_000 + SUBMIT_WAIT_MS - 1, 1, true));
    assert!(shutdown.may_exit(1_000 + SUBMIT_WAIT_MS, 1, true));
}

#[test]
fn a_request_that_starts_late_gets_time_for_its_response() {
    let mut shutdown = GracefulShutdown::new(1_000);
    assert!(!shutdown.may_exit(1_010, 0, true));
    assert!(!shutdown.may_exit(1_020, 1, true));
    assert!(!shutdown.may_exit(1_030, 0, true), "its response may still be written");
    assert!(shutdown.may_exit(1_030 + RESPONSE_WRITE_MS, 0, true));
}

#[test]
fn the_waits_for_requests_and_for_the_transfer_overlap() {
    let mut shutdown = GracefulShutdown::new(1_000);
    let latest_ms = 1_000 + SUBMIT_WAIT_MS.max(LEADERSHIP_TRANSFER_MS);
    assert!(shutdown.may_exit(latest_ms, 1, false), "the waits must not follow one another");
}
