//! Tests of the poll rate.

use super::*;

/// Polls a list that serves at most `per_s` pages within a second. Returns the number of refusals
/// and of pages served.
fn poll_limited_list(per_s: usize, seconds: u64) -> (u64, u64) {
    let mut rate = PollRate::new(0, LIST_GAP_MS);
    let mut served: VecDeque<u64> = VecDeque::new();
    let (mut now_ms, mut pages) = (1_000, 0);
    while now_ms < 1_000 + seconds * 1_000 {
        now_ms += 20;
        if !rate.permits(now_ms, false) {
            continue;
        }
        rate.on_request(now_ms);
        served.retain(|at_ms| now_ms < at_ms + 1_000);
        if served.len() < per_s {
            served.push_back(now_ms);
            pages += 1;
        } else {
            rate.on_refusal(now_ms);
            now_ms += 1_000;
        }
    }
    (rate.refusals(), pages)
}

#[test]
fn request_rate_follows_the_configured_gap_also_after_a_handover() {
    let mut rate = PollRate::new(0, 26);
    let mut requested: VecDeque<u64> = VecDeque::new();
    let mut max = 0;
    for now_ms in 1_000..11_000 {
        if rate.permits(now_ms, now_ms < 2_000) {
            rate.on_request(now_ms);
            requested.push_back(now_ms);
        }
        requested.retain(|at_ms| now_ms < at_ms + 1_000);
        max = max.max(requested.len());
    }
    assert!((35..=40).contains(&max), "{max} requests of 52 a second");
    let successor = PollRate::from_handover(11_000, 26, 26, &[]);
    assert_eq!((successor.gap_ms(), successor.min_gap_ms()), (26, 26), "the successor's gap");
}

#[test]
fn refusals_are_few_and_the_rate_stays_near_the_limit_of_the_list() {
    for per_s in [1, 2, 3, 5, 8, 20] {
        let (refusals, pages) = poll_limited_list(per_s, 120);
        assert!(refusals <= 4, "{refusals} refusals at a limit of {per_s} pages a second");
        let min = 120 * per_s.min(7) as u64 * 3 / 4;
        assert!(pages >= min, "{pages} pages at a limit of {per_s} pages a second");
    }
}
