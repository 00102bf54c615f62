//! Tests of `watch`.

use super::*;

#[test]
fn gaps_and_repeats_are_found() {
    let put = |left| Done {
        name: "k".into(),
        start_ms: 0.0,
        end_ms: 1.0,
        sound: true,
        what: What::Put { found: 0, left },
    };
    let told = |revisions: &[u64]| Told { revisions: revisions.to_vec(), from: 0, too_old: false };
    assert!(check(&told(&[1, 3]), &[put(1), put(3)]).is_empty());
    assert_eq!(check(&told(&[1]), &[put(1), put(3)]).len(), 1);
    assert_eq!(check(&told(&[1, 1, 3]), &[put(1), put(3)]).len(), 1);
}
