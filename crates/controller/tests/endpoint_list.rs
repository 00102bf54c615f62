//! Scans of the endpoint list with shifted rows, failures and cursor cycles.

mod harness;
use harness::*;
use postbarrow_constants::nodes::*;
use postbarrow_constants::plans::*;
use postbarrow_controller::{Fetched, Input, PageResult};
use postbarrow_messages::{Request, Response};

/// Answers all pending fetches of this cursor. A row that ends in `!` is draining.
fn answer_cursor(harness: &mut Harness, cursor: Option<&str>, rows: &[&str], next: Option<&str>) {
    let has_cursor = |fetch: &(u64, Option<String>)| fetch.1.as_deref() == cursor;
    for _ in 0..200 {
        if harness.fetches.iter().any(has_cursor) {
            break;
        }
        harness.tick(20);
    }
    assert!(harness.fetches.iter().any(has_cursor), "page {cursor:?} was not requested");
    let requested: Vec<u64> =
        harness.fetches.iter().filter(|fetch| has_cursor(fetch)).map(|fetch| fetch.0).collect();
    harness.fetches.retain(|fetch| !has_cursor(fetch));
    let rows: Vec<String> = rows
        .iter()
        .map(|row| Harness::row(row.trim_end_matches('!'), "ledger", row.ends_with('!')))
        .collect();
    let next = next.map_or("null".into(), |next| format!("\"{next}\""));
    let text = format!("{{\"targets\":[{}],\"next\":{next}}}", rows.join(","));
    for number in requested {
        let fetched = Fetched::Page(text.clone().into_bytes());
        harness.input(Input::Page(PageResult { number, fetched }));
        harness.sync();
    }
}

/// Answers one scan of the list; the cursor of a page is its position.
fn scan(harness: &mut Harness, pages: &[&[&str]]) {
    for (at, rows) in pages.iter().enumerate() {
        let cursor = (at > 0).then(|| at.to_string());
        let next = (at + 1 < pages.len()).then(|| (at + 1).to_string());
        answer_cursor(harness, cursor.as_deref(), rows, next.as_deref());
    }
}

fn harness_with_list() -> Harness {
    let mut harness = Harness::new(recovered(&[1], Vec::new(), 0));
    harness.become_leader();
    scan(&mut harness, &[&["l1", "l2"], &["l3", "l4"], &["l5", "l6"]]);
    assert_eq!(live(&harness), ["l1", "l2", "l3", "l4", "l5", "l6"]);
    harness
}

fn live(harness: &Harness) -> Vec<String> {
    let targets = harness.state().targets.values();
    targets.filter(|target| !target.draining).map(|target| target.instance.to_string()).collect()
}

fn target_count(harness: &Harness) -> usize {
    harness.state().targets.len()
}

#[test]
fn a_row_that_shifts_to_a_page_already_read_is_not_removed() {
    let mut harness = harness_with_list();
    scan(&mut harness, &[&["l1", "l2"], &["l4", "l5"], &["l6"]]);
    assert_eq!(target_count(&harness), 6, "l3 may be at the end of the first page");
    assert_eq!(live(&harness).len(), 5, "l3 is draining while others are live");
    scan(&mut harness, &[&["l2", "l3"], &["l4", "l5"], &["l6"]]);
    assert_eq!(target_count(&harness), 5, "l1 is removed");
    assert!(live(&harness).contains(&"l3".to_string()));
}

#[test]
fn a_row_missing_between_its_neighbours_is_removed_at_once() {
    let mut harness = harness_with_list();
    scan(&mut harness, &[&["l1", "l3"], &["l4", "l5"], &["l6"]]);
    assert_eq!(live(&harness), ["l1", "l3", "l4", "l5", "l6"]);
    assert_eq!(target_count(&harness), 5);
}

#[test]
fn a_row_missing_at_a_page_boundary_is_removed_after_repeated_scans() {
    let mut harness = harness_with_list();
    for count in 1..=LIST_MISSES {
        scan(&mut harness, &[&["l1", "l2"], &["l4"], &["l5", "l6"]]);
        let is_removed = count == LIST_MISSES;
        assert_eq!(target_count(&harness), if is_removed { 5 } else { 6 }, "scan {count}");
    }
}

#[test]
fn an_empty_or_sharply_shrunk_list_is_accepted_after_repeated_scans() {
    for rows in [&[][..], &["l1"][..]] {
        let mut harness = harness_with_list();
        scan(&mut harness, &[rows]);
        assert_eq!(target_count(&harness), 6, "one scan is not enough");
        scan(&mut harness, &[&["l1", "l2"], &["l3", "l4"], &["l5", "l6"]]);
        scan(&mut harness, &[rows]);
        assert_eq!(
            target_count(&harness),
            6,
            "two scans with a complete one between them are not enough"
        );
        scan(&mut harness, &[rows]);
        assert_eq!(target_count(&harness), 6, "two consecutive scans are not enough");
        scan(&mut harness, &[rows]);
        let remaining = target_count(&harness);
        scan(&mut harness, &[rows]);
        assert!(
            remaining <= 1 + rows.len() && target_count(&harness) == rows.len(),
            "{remaining} remain"
        );
    }
}

/// The kind of failure of the list between two scans that find far fewer rows.
#[derive(Clone, Copy, Debug)]
enum ScanFailure {
    CursorCycle,
    EveryPageFails,
    /// One fetch fails; its retry succeeds and the scan continues.
    OnePageFails,
    PageTimeout,
}

fn fail_scan(harness: &mut Harness, failure: ScanFailure) {
    match failure {
        ScanFailure::CursorCycle => {
            answer_cursor(harness, None, &["l1"], Some("1"));
            answer_cursor(harness, Some("1"), &["l2"], Some("1"));
        }
        ScanFailure::EveryPageFails | ScanFailure::OnePageFails => {
            let failures = match failure {
                ScanFailure::OnePageFails => 1,
                _ => LIST_PAGE_RETRIES + 1,
            };
            for _ in 0..failures {
                while harness.fetches.is_empty() {
                    harness.tick(20);
                }
                let (number, _) = harness
                    .fetches
                    .pop_front()
                    .expect("no page of the endpoint list was requested");
                let fetched = Fetched::Failed("the list is not there".into());
                harness.input(Input::Page(PageResult { number, fetched }));
            }
        }
        ScanFailure::PageTimeout => {
            while harness.fetches.is_empty() {
                harness.tick(20);
            }
            harness.tick(LIST_PAGE_WAIT_MS + 20);
        }
    }
    harness.fetches.clear();
}

/// Guards against counting shrunk scans as consecutive across a failure. `simulate --seed 3008795`
/// found it with a list that was truncated, unreachable, had a cursor cycle, and was truncated
/// again.
#[test]
fn shrunk_scans_with_a_failure_between_them_are_not_consecutive() {
    for failure in [
        ScanFailure::CursorCycle,
        ScanFailure::EveryPageFails,
        ScanFailure::OnePageFails,
        ScanFailure::PageTimeout,
    ] {
        for rows in [&[][..], &["l1"][..]] {
            let mut harness = harness_with_list();
            for count in 1..=LIST_MISSES {
                scan(&mut harness, &[rows]);
                assert_eq!(target_count(&harness), 6, "{failure:?}: shrunk scan {count}");
                fail_scan(&mut harness, failure);
            }
            for _ in 0..=LIST_SHRUNK_SCANS {
                scan(&mut harness, &[rows]);
            }
            assert_eq!(
                target_count(&harness),
                rows.len(),
                "{failure:?}: accepted once it persists"
            );
        }
    }
}

#[test]
fn pages_are_fetched_concurrently_and_a_changed_cursor_discards_a_page_fetched_ahead() {
    let mut harness = harness_with_list();
    harness.fetches.clear();
    while harness.fetches.len() < 3 {
        harness.tick(20);
    }
    let cursors: Vec<Option<String>> =
        harness.fetches.iter().map(|fetch| fetch.1.clone()).collect();
    assert_eq!(cursors, [None, Some("1".into()), Some("2".into())]);
    answer_cursor(&mut harness, Some("2"), &["x9"], None);
    answer_cursor(&mut harness, None, &["l1", "l2"], Some("9"));
    answer_cursor(&mut harness, Some("9"), &["l3", "l4!", "l5", "l6"], None);
    assert_eq!(
        live(&harness),
        ["l1", "l2", "l3", "l5", "l6"],
        "the page fetched ahead was not discarded"
    );
}

#[test]
fn a_draining_row_on_one_page_is_not_undone_by_another_page() {
    let mut harness = harness_with_list();
    while harness.fetches.len() < 2 {
        harness.tick(20);
    }
    answer_cursor(&mut harness, Some("1"), &["l2!", "l3"], Some("2"));
    answer_cursor(&mut harness, None, &["l1", "l2"], Some("1"));
    assert!(!live(&harness).contains(&"l2".to_string()));
}

#[test]
fn a_cursor_cycle_ends_the_scan_and_removes_no_target() {
    let mut harness = harness_with_list();
    for _ in 0..3 {
        answer_cursor(&mut harness, None, &["l1"], Some("1"));
        answer_cursor(&mut harness, Some("1"), &["l2"], Some("1"));
        harness.fetches.clear();
    }
    assert_eq!(target_count(&harness), 6);
    harness.request(1, Request::Targets);
    let Some(Response::Operator { body, .. }) = harness.response(1) else {
        panic!("no response to the targets request")
    };
    assert!(String::from_utf8_lossy(body).contains("its cursors go round"));
}

#[test]
fn a_slow_list_raises_the_reported_leave_bound() {
    let mut harness = harness_with_list();
    scan(&mut harness, &[&["l1", "l2"], &["l3", "l4"], &["l5", "l6"]]);
    harness.request(1, Request::Targets);
    let leave_bound_ms = |harness: &Harness, key| {
        let Some(Response::Operator { body, .. }) = harness.response(key) else {
            panic!("no response to the targets request")
        };
        let text = String::from_utf8_lossy(body).into_owned();
        let tail = text.split("\"leaveBoundMs\":").nth(1).unwrap();
        tail.split([',', '}']).next().unwrap().parse::<u64>().unwrap()
    };
    assert!(leave_bound_ms(&harness, 1) <= DRAIN_BOUND_MS);
    for _ in 0..8 {
        while harness.fetches.is_empty() {
            harness.tick(20);
        }
        harness.tick(1_100);
        if harness.fetches.len() == 1 || harness.fetches[0].1.is_none() {
            answer_cursor(&mut harness, None, &["l1", "l2", "l3", "l4", "l5", "l6"], None);
        }
        harness.fetches.clear();
    }
    harness.request(2, Request::Targets);
    assert!(leave_bound_ms(&harness, 2) > DRAIN_BOUND_MS);
}

#[test]
fn a_draining_row_aborts_a_long_transaction() {
    let mut harness = harness_with_list();
    harness.renew_lease(5);
    harness.run_until_idle();
    harness.fetches.clear();
    while harness.fetches.is_empty() {
        harness.tick(20);
    }
    let (number, _) =
        harness.fetches.pop_back().expect("no page of the endpoint list was requested");
    harness.submit(1, &plan("v1", None, 8_000, "ledger"));
    let rows: Vec<String> = ["l1", "l2", "l3", "l4", "l5"]
        .iter()
        .map(|row| Harness::row(row, "ledger", *row == "l1"))
        .collect();
    let text = format!("{{\"targets\":[{}],\"next\":\"1\"}}", rows.join(","));
    harness.input(Input::Page(PageResult { number, fetched: Fetched::Page(text.into_bytes()) }));
    for _ in 0..DRAIN_TRANSACTION_WAIT_MS / 20 + 2 {
        harness.tick(20);
    }
    const { assert!(DRAIN_TRANSACTION_WAIT_MS + 60 < TRANSACTION_OPEN_MS) };
    while harness.response(1).is_none() {
        harness.sync();
    }
    assert_eq!(harness.response(1), Some(&Response::TimedOut), "the plan may be submitted again");
    assert!(!live(&harness).contains(&"l1".to_string()));
}
