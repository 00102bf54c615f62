//! Tests of `key_watch`.

use super::*;

#[test]
fn missing_and_repeated_revisions_are_violations() {
    let put = |revision| CompletedCall {
        name: "k".into(),
        start_ms: 0.0,
        end_ms: 1.0,
        answered: true,
        result: CallResult::Put { base: 0, revision },
    };
    let watched = |revisions: &[u64]| WatchedRevisions {
        revisions: revisions.to_vec(),
        from: 0,
        too_old: false,
    };
    assert!(check(&watched(&[1, 3]), &[put(1), put(3)]).is_empty());
    assert_eq!(check(&watched(&[1]), &[put(1), put(3)]).len(), 1);
    assert_eq!(check(&watched(&[1, 1, 3]), &[put(1), put(3)]).len(), 1);
}
