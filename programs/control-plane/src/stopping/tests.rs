//! When a stopping process may end.

use super::*;

#[test]
fn it_ends_once_answers_are_written_and_another_leads() {
    let mut stopping = GracefulShutdown::new(1_000);
    assert!(!stopping.may_end(1_000, 0, true), "the last answer may still be written");
    assert!(!stopping.may_end(1_000 + ANSWER_WRITE_MS, 0, false), "nobody leads in its place");
    assert!(stopping.may_end(1_000 + ANSWER_WRITE_MS, 0, true));
}

#[test]
fn an_open_request_keeps_it_for_a_bounded_time() {
    let mut stopping = GracefulShutdown::new(1_000);
    assert!(!stopping.may_end(1_000 + SUBMIT_WAIT_MS - 1, 1, true));
    assert!(stopping.may_end(1_000 + SUBMIT_WAIT_MS, 1, true));
}

#[test]
fn a_request_that_opens_late_gets_its_time_to_be_written() {
    let mut stopping = GracefulShutdown::new(1_000);
    assert!(!stopping.may_end(1_010, 0, true));
    assert!(!stopping.may_end(1_020, 1, true));
    assert!(!stopping.may_end(1_030, 0, true), "its answer is on its way out");
    assert!(stopping.may_end(1_030 + ANSWER_WRITE_MS, 0, true));
}

#[test]
fn waits_for_operators_and_for_an_heir_run_beside_each_other() {
    let mut stopping = GracefulShutdown::new(1_000);
    let latest_ms = 1_000 + SUBMIT_WAIT_MS.max(LEADERSHIP_TRANSFER_MS);
    assert!(stopping.may_end(latest_ms, 1, false), "not one after the other");
}
