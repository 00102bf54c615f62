//! Tests of the linearizability check.

use super::*;
use postbarrow_state::Key;

fn completed(start_us: u64, end_us: u64, call: Call, outcome: Outcome) -> CompletedCall {
    CompletedCall { caller: 0, start_us, end_us, call, outcome }
}

fn next(start_us: u64, end_us: u64, value: u64) -> CompletedCall {
    let call = Call::Next { name: "n".into(), by: 1 };
    completed(start_us, end_us, call, Outcome::Number(value))
}

fn put(start_us: u64, end_us: u64, expected: u64, revision: u64) -> CompletedCall {
    let call = Call::Put { name: "k".into(), value: vec![], revision: Some(expected) };
    completed(start_us, end_us, call, Outcome::Key(Key { value: vec![], revision }))
}

fn read(start_us: u64, end_us: u64, revision: u64) -> CompletedCall {
    let call = Call::ReadKey { name: "k".into() };
    completed(start_us, end_us, call, Outcome::Key(Key { value: vec![], revision }))
}

#[test]
fn check_accepts_linearizable_histories_and_reports_all_others() {
    assert!(check(&[next(0, 9, 2), next(1, 8, 1), next(10, 11, 3)]).is_empty());
    assert_eq!(
        check(&[next(0, 1, 2), next(2, 3, 1)]).len(),
        1,
        "a call that started later got the smaller number"
    );
    assert_eq!(check(&[next(0, 5, 1), next(1, 6, 1)]).len(), 1, "two calls got the same number");
    assert_eq!(check(&[next(0, 5, 1), next(6, 7, 3)]).len(), 1, "a number was skipped");
    assert!(check(&[put(0, 5, 0, 4), read(3, 9, 4), put(6, 8, 4, 7)]).is_empty());
    assert_eq!(
        check(&[put(0, 5, 0, 4), put(6, 8, 0, 7)]).len(),
        1,
        "a put replaced a revision that it did not expect"
    );
    assert_eq!(
        check(&[put(0, 1, 0, 4), put(2, 3, 4, 7), read(4, 5, 4)]).len(),
        1,
        "a read returned an overwritten revision"
    );
}
