//! Tests of `graceful_shutdown`.

use super::*;

#[test]
fn it_ends_once_responses_are_written_and_leadership_is_transferred() {
    let mut shutdown = GracefulShutdown::new(1_000);
    assert!(!shutdown.may_end(1_000, 0, true), "the last response may still be written");
    assert!(!shutdown.may_end(1_000 + ANSWER_WRITE_MS, 0, false), "nobody leads in its place");
    assert!(shutdown.may_end(1_000 + ANSWER_WRITE_MS, 0, true));
}

#[test]
fn a_pending_request_delays_the_end_for_a_bounded_time() {
    let mut shutdown = GracefulShutdown::new(1_000);
    assert!(!shutdown.may_end(1_000 + SUBMIT_WAIT_MS - 1, 1, true));
    assert!(shutdown.may_end(1_000 + SUBMIT_WAIT_MS, 1, true));
}

#[test]
fn a_request_that_starts_late_gets_time_for_its_response() {
    let mut shutdown = GracefulShutdown::new(1_000);
    assert!(!shutdown.may_end(1_010, 0, true));
    assert!(!shutdown.may_end(1_020, 1, true));
    assert!(!shutdown.may_end(1_030, 0, true), "its response may still be written");
    assert!(shutdown.may_end(1_030 + ANSWER_WRITE_MS, 0, true));
}

#[test]
fn waits_for_requests_and_for_the_transfer_overlap() {
    let mut shutdown = GracefulShutdown::new(1_000);
    let latest_ms = 1_000 + SUBMIT_WAIT_MS.max(LEADERSHIP_TRANSFER_MS);
    assert!(shutdown.may_end(latest_ms, 1, false), "not one after the other");
}
