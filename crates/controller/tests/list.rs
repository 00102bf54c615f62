//! The platform's list in all its troubles, page by page.

mod bench;
use bench::*;
use postbarrow_constants::nodes::*;
use postbarrow_constants::plans::*;
use postbarrow_controller::{Fetched, Input, PageResult};
use postbarrow_messages::{Request, Response};

/// Answers the page asked for by this cursor, whichever was asked first.
fn answer(bench: &mut Bench, cursor: Option<&str>, rows: &[&str], next: Option<&str>) {
    let wanted = |fetch: &(u64, Option<String>)| fetch.1.as_deref() == cursor;
    for _ in 0..200 {
        if bench.fetches.iter().any(wanted) {
            break;
        }
        bench.tick(20);
    }
    assert!(bench.fetches.iter().any(wanted), "page {cursor:?} is asked for");
    let asked: Vec<u64> = bench.fetches.iter().filter(|one| wanted(one)).map(|one| one.0).collect();
    bench.fetches.retain(|fetch| !wanted(fetch));
    let rows: Vec<String> = rows
        .iter()
        .map(|row| Bench::row(row.trim_end_matches('!'), "ledger", row.ends_with('!')))
        .collect();
    let next = next.map_or("null".into(), |next| format!("\"{next}\""));
    let text = format!("{{\"targets\":[{}],\"next\":{next}}}", rows.join(","));
    for number in asked {
        let fetched = Fetched::Page(text.clone().into_bytes());
        bench.input(Input::Page(PageResult { number, fetched }));
        bench.sync();
    }
}

fn walk(bench: &mut Bench, pages: &[&[&str]]) {
    for (at, rows) in pages.iter().enumerate() {
        let cursor = (at > 0).then(|| at.to_string());
        let next = (at + 1 < pages.len()).then(|| (at + 1).to_string());
        answer(bench, cursor.as_deref(), rows, next.as_deref());
    }
}

fn listed() -> Bench {
    let mut bench = Bench::new(recovered(&[1], Vec::new(), 0));
    bench.lead();
    walk(&mut bench, &[&["l1", "l2"], &["l3", "l4"], &["l5", "l6"]]);
    assert_eq!(live(&bench), ["l1", "l2", "l3", "l4", "l5", "l6"]);
    bench
}

fn live(bench: &Bench) -> Vec<String> {
    let targets = bench.state().targets.values();
    targets.filter(|target| !target.draining).map(|target| target.instance.to_string()).collect()
}

fn known(bench: &Bench) -> usize {
    bench.state().targets.len()
}

#[test]
fn a_row_that_shifts_over_a_page_already_read_is_not_dropped() {
    let mut bench = listed();
    walk(&mut bench, &[&["l1", "l2"], &["l4", "l5"], &["l6"]]);
    assert_eq!(known(&bench), 6, "l3 may stand at the end of the first page by now");
    assert_eq!(live(&bench).len(), 5, "but gets nothing while others are there");
    walk(&mut bench, &[&["l2", "l3"], &["l4", "l5"], &["l6"]]);
    assert_eq!(known(&bench), 5, "l1 was the one that left");
    assert!(live(&bench).contains(&"l3".to_string()));
}

#[test]
fn a_row_missing_between_its_neighbours_is_gone_at_once() {
    let mut bench = listed();
    walk(&mut bench, &[&["l1", "l3"], &["l4", "l5"], &["l6"]]);
    assert_eq!(live(&bench), ["l1", "l3", "l4", "l5", "l6"]);
    assert_eq!(known(&bench), 5);
}

#[test]
fn a_row_missing_at_a_boundary_every_time_is_gone_in_the_end() {
    let mut bench = listed();
    for turn in 1..=LIST_MISSES {
        walk(&mut bench, &[&["l1", "l2"], &["l4"], &["l5", "l6"]]);
        let gone = turn == LIST_MISSES;
        assert_eq!(known(&bench), if gone { 5 } else { 6 }, "walk {turn}");
    }
}

#[test]
fn an_empty_or_sharply_shrunk_list_is_believed_when_it_stays_so() {
    for rows in [&[][..], &["l1"][..]] {
        let mut bench = listed();
        walk(&mut bench, &[rows]);
        assert_eq!(known(&bench), 6, "one answer is not enough");
        walk(&mut bench, &[&["l1", "l2"], &["l3", "l4"], &["l5", "l6"]]);
        walk(&mut bench, &[rows]);
        assert_eq!(known(&bench), 6, "nor are two with a whole one between them");
        walk(&mut bench, &[rows]);
        assert_eq!(known(&bench), 6, "nor two in a row");
        walk(&mut bench, &[rows]);
        let left = known(&bench);
        walk(&mut bench, &[rows]);
        assert!(left <= 1 + rows.len() && known(&bench) == rows.len(), "{left} are left");
    }
}

/// How the list fails between two short answers.
#[derive(Clone, Copy, Debug)]
enum Between {
    CursorsGoRound,
    EveryPageFails,
    /// Asked for again, it comes: the walk goes on.
    OnePageFails,
    APageNeverComes,
}

fn fail_walk(bench: &mut Bench, how: Between) {
    match how {
        Between::CursorsGoRound => {
            answer(bench, None, &["l1"], Some("1"));
            answer(bench, Some("1"), &["l2"], Some("1"));
        }
        Between::EveryPageFails | Between::OnePageFails => {
            let failures = match how {
                Between::OnePageFails => 1,
                _ => LIST_PAGE_RETRIES + 1,
            };
            for _ in 0..failures {
                while bench.fetches.is_empty() {
                    bench.tick(20);
                }
                let (number, _) = bench.fetches.pop_front().expect("a page is asked for");
                let fetched = Fetched::Failed("the list is not there".into());
                bench.input(Input::Page(PageResult { number, fetched }));
            }
        }
        Between::APageNeverComes => {
            while bench.fetches.is_empty() {
                bench.tick(20);
            }
            bench.tick(LIST_PAGE_WAIT_MS + 20);
        }
    }
    bench.fetches.clear();
}

/// Found by `simulate --seed 3008795`: cut short, out of reach, going round, cut short again.
#[test]
fn short_answers_with_a_failure_between_them_are_not_in_a_row() {
    for how in [
        Between::CursorsGoRound,
        Between::EveryPageFails,
        Between::OnePageFails,
        Between::APageNeverComes,
    ] {
        for rows in [&[][..], &["l1"][..]] {
            let mut bench = listed();
            for turn in 1..=LIST_MISSES {
                walk(&mut bench, &[rows]);
                assert_eq!(known(&bench), 6, "{how:?}: short answer {turn}");
                fail_walk(&mut bench, how);
            }
            for _ in 0..=LIST_SHRUNK_SCANS {
                walk(&mut bench, &[rows]);
            }
            assert_eq!(known(&bench), rows.len(), "{how:?}: it stays so, and is believed");
        }
    }
}

#[test]
fn pages_are_asked_for_beside_each_other_and_a_cursor_that_changed_undoes_a_guess() {
    let mut bench = listed();
    bench.fetches.clear();
    while bench.fetches.len() < 3 {
        bench.tick(20);
    }
    let cursors: Vec<Option<String>> = bench.fetches.iter().map(|fetch| fetch.1.clone()).collect();
    assert_eq!(cursors, [None, Some("1".into()), Some("2".into())]);
    answer(&mut bench, Some("2"), &["x9"], None);
    answer(&mut bench, None, &["l1", "l2"], Some("9"));
    answer(&mut bench, Some("9"), &["l3", "l4!", "l5", "l6"], None);
    assert_eq!(live(&bench), ["l1", "l2", "l3", "l5", "l6"], "a guessed page is no part of it");
}

#[test]
fn a_mark_seen_on_one_page_is_not_undone_by_an_older_page() {
    let mut bench = listed();
    while bench.fetches.len() < 2 {
        bench.tick(20);
    }
    answer(&mut bench, Some("1"), &["l2!", "l3"], Some("2"));
    answer(&mut bench, None, &["l1", "l2"], Some("1"));
    assert!(!live(&bench).contains(&"l2".to_string()));
}

#[test]
fn cursors_that_go_round_end_the_walk_and_take_nobody() {
    let mut bench = listed();
    for _ in 0..3 {
        answer(&mut bench, None, &["l1"], Some("1"));
        answer(&mut bench, Some("1"), &["l2"], Some("1"));
        bench.fetches.clear();
    }
    assert_eq!(known(&bench), 6);
    bench.ask(1, Request::Targets);
    let Some(Response::Operator { body, .. }) = bench.answer(1) else { panic!("no targets") };
    assert!(String::from_utf8_lossy(body).contains("its cursors go round"));
}

#[test]
fn a_list_too_slow_for_the_bound_says_so() {
    let mut bench = listed();
    walk(&mut bench, &[&["l1", "l2"], &["l3", "l4"], &["l5", "l6"]]);
    bench.ask(1, Request::Targets);
    let bound = |bench: &Bench, key| {
        let Some(Response::Operator { body, .. }) = bench.answer(key) else { panic!("no targets") };
        let text = String::from_utf8_lossy(body).into_owned();
        let told = text.split("\"leaveBoundMs\":").nth(1).unwrap();
        told.split([',', '}']).next().unwrap().parse::<u64>().unwrap()
    };
    assert!(bound(&bench, 1) <= DRAIN_BOUND_MS);
    for _ in 0..8 {
        while bench.fetches.is_empty() {
            bench.tick(20);
        }
        bench.tick(1_100);
        if bench.fetches.len() == 1 || bench.fetches[0].1.is_none() {
            answer(&mut bench, None, &["l1", "l2", "l3", "l4", "l5", "l6"], None);
        }
        bench.fetches.clear();
    }
    bench.ask(2, Request::Targets);
    assert!(bound(&bench, 2) > DRAIN_BOUND_MS);
}

#[test]
fn a_mark_does_not_wait_for_a_long_transaction() {
    let mut bench = listed();
    bench.fresh(5);
    bench.settle();
    bench.fetches.clear();
    while bench.fetches.is_empty() {
        bench.tick(20);
    }
    let (number, _) = bench.fetches.pop_back().expect("a page is asked for");
    bench.submit(1, &plan("v1", None, 8_000, "ledger"));
    let rows: Vec<String> = ["l1", "l2", "l3", "l4", "l5"]
        .iter()
        .map(|row| Bench::row(row, "ledger", *row == "l1"))
        .collect();
    let text = format!("{{\"targets\":[{}],\"next\":\"1\"}}", rows.join(","));
    bench.input(Input::Page(PageResult { number, fetched: Fetched::Page(text.into_bytes()) }));
    for _ in 0..DRAIN_TRANSACTION_WAIT_MS / 20 + 2 {
        bench.tick(20);
    }
    const { assert!(DRAIN_TRANSACTION_WAIT_MS + 60 < TRANSACTION_OPEN_MS) };
    while bench.answer(1).is_none() {
        bench.sync();
    }
    assert_eq!(bench.answer(1), Some(&Response::TimedOut), "the plan may come again");
    assert!(!live(&bench).contains(&"l1".to_string()));
}
