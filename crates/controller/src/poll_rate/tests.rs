//! Tests of `pace`.

use super::*;

/// A list that takes so many within a second, from whoever asks.
fn refusals(per_s: usize, seconds: u64) -> (u64, u64) {
    let mut pace = PollRate::new(0, LIST_GAP_MS);
    let mut served: VecDeque<u64> = VecDeque::new();
    let (mut now_ms, mut pages) = (1_000, 0);
    while now_ms < 1_000 + seconds * 1_000 {
        now_ms += 20;
        if !pace.permits(now_ms, false) {
            continue;
        }
        pace.on_request(now_ms);
        served.retain(|at_ms| now_ms < at_ms + 1_000);
        if served.len() < per_s {
            served.push_back(now_ms);
            pages += 1;
        } else {
            pace.refused(now_ms);
            now_ms += 1_000;
        }
    }
    (pace.refusals, pages)
}

#[test]
fn a_rate_that_is_told_is_used_and_never_run_into() {
    let mut pace = PollRate::new(0, 26);
    let mut asked: VecDeque<u64> = VecDeque::new();
    let mut most = 0;
    for now_ms in 1_000..11_000 {
        if pace.permits(now_ms, now_ms < 2_000) {
            pace.on_request(now_ms);
            asked.push_back(now_ms);
        }
        asked.retain(|at_ms| now_ms < at_ms + 1_000);
        most = most.max(asked.len());
    }
    assert!((35..=40).contains(&most), "{most} of 52 a second");
    let heir = PollRate::from_handover(11_000, 26, 26, &[]);
    assert_eq!((heir.gap_ms(), heir.min_gap_ms()), (26, 26), "an heir keeps it");
}

#[test]
fn a_rate_limit_is_learnt_once_and_not_run_into_again() {
    for per_s in [1, 2, 3, 5, 8, 20] {
        let (refusals, pages) = refusals(per_s, 120);
        assert!(refusals <= 4, "{refusals} refusals at {per_s} a second");
        let least = 120 * per_s.min(7) as u64 * 3 / 4;
        assert!(pages >= least, "{pages} pages at {per_s} a second");
    }
}
