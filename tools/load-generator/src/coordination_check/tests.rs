//! Tests of `coordination_check`.

use super::*;

fn call(start_ms: f64, end_ms: f64, result: CallResult) -> CompletedCall {
    CompletedCall { name: "n".into(), start_ms, end_ms, answered: true, result }
}

#[test]
fn inconsistent_histories_are_violations_and_consistent_ones_are_not() {
    let good = [
        call(0.0, 2.0, CallResult::Number(2)),
        call(1.0, 3.0, CallResult::Number(1)),
        call(4.0, 5.0, CallResult::Number(3)),
    ];
    assert!(check(&good).is_empty());
    let repeated = [call(0.0, 1.0, CallResult::Number(2)), call(2.0, 3.0, CallResult::Number(2))];
    assert_eq!(check(&repeated).len(), 1);
    let put = |at, base, revision| call(at, at + 1.0, CallResult::Put { base, revision });
    let stale = [put(0.0, 0, 5), call(2.0, 3.0, CallResult::Read { revision: 4 })];
    assert_eq!(check(&stale).len(), 1);
    assert_eq!(check(&[put(0.0, 1, 2), put(2.0, 1, 3)]).len(), 1);
    assert_eq!(check(&[call(0.0, 1.0, CallResult::Overlap)]).len(), 1);
}
