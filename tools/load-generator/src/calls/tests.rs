//! Tests of `calls`.

use super::*;

fn done(start_ms: f64, end_ms: f64, what: What) -> Done {
    Done { name: "n".into(), start_ms, end_ms, sound: true, what }
}

#[test]
fn planted_bad_histories_are_found_and_good_ones_are_not() {
    let good = [
        done(0.0, 2.0, What::Number(2)),
        done(1.0, 3.0, What::Number(1)),
        done(4.0, 5.0, What::Number(3)),
    ];
    assert!(check(&good).is_empty());
    let repeated = [done(0.0, 1.0, What::Number(2)), done(2.0, 3.0, What::Number(2))];
    assert_eq!(check(&repeated).len(), 1);
    let put = |at, found, left| done(at, at + 1.0, What::Put { found, left });
    let stale = [put(0.0, 0, 5), done(2.0, 3.0, What::Read { revision: 4 })];
    assert_eq!(check(&stale).len(), 1);
    assert_eq!(check(&[put(0.0, 1, 2), put(2.0, 1, 3)]).len(), 1);
    assert_eq!(check(&[done(0.0, 1.0, What::Overlap)]).len(), 1);
}
