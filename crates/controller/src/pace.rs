use postbarrow_constants::nodes::*;
use std::collections::VecDeque;

/// How often pages may be asked for: learnt from a refusal, then kept below it.
pub(crate) struct Pace {
    gapMs: u64,
    /// The list's owner allows no smaller gap.
    leastMs: u64,
    startMs: u64,
    askedMs: u64,
    changedMs: u64,
    asked: VecDeque<u64>,
    pub refusals: u64,
}

impl Pace {
    pub fn new(nowMs: u64, leastMs: u64) -> Self {
        Pace {
            gapMs: leastMs,
            leastMs,
            startMs: nowMs,
            askedMs: 0,
            changedMs: nowMs,
            asked: VecDeque::new(),
            refusals: 0,
        }
    }

    pub fn handed(nowMs: u64, leastMs: u64, gapMs: u64, askedMs: &[u64]) -> Self {
        let mut pace = Pace::new(nowMs, leastMs);
        pace.gapMs = gapMs.clamp(leastMs, LIST_GAP_MOST_MS.max(leastMs));
        pace.asked = askedMs.iter().map(|agoMs| nowMs.saturating_sub(*agoMs)).collect();
        pace.askedMs = pace.asked.back().copied().unwrap_or(0);
        pace
    }

    pub fn asked_ago(&self, nowMs: u64) -> Vec<u64> {
        self.asked.iter().map(|atMs| nowMs.saturating_sub(*atMs)).collect()
    }

    pub fn least(&self) -> u64 {
        self.leastMs
    }

    pub fn gapMs(&self) -> u64 {
        self.gapMs
    }

    /// Who knows nothing yet is in a hurry, as long as the list never refused.
    pub fn permits(&self, nowMs: u64, hurry: bool) -> bool {
        let quick = hurry && self.refusals == 0 && self.leastMs == LIST_GAP_MS;
        let hurryMs = if quick { LIST_HURRY_MS } else { self.gapMs };
        nowMs >= self.askedMs + hurryMs && self.within(nowMs) < LIST_WINDOW_MS.div_ceil(self.gapMs)
    }

    fn within(&self, nowMs: u64) -> u64 {
        self.asked.iter().filter(|atMs| nowMs < **atMs + LIST_WINDOW_MS).count() as u64
    }

    pub fn asked(&mut self, nowMs: u64) {
        self.askedMs = nowMs;
        self.asked.push_back(nowMs);
        while self.asked.front().is_some_and(|atMs| nowMs >= atMs + LIST_WINDOW_MS) {
            self.asked.pop_front();
        }
    }

    /// The list took one fewer than were asked for within its window. At first another controller
    /// may have asked as well, so that says nothing yet.
    pub fn refused(&mut self, nowMs: u64) {
        self.refusals += 1;
        let taken = self.within(nowMs).saturating_sub(1).max(1);
        let gapMs = LIST_WINDOW_MS.div_ceil(taken) * 21 / 20;
        self.asked.clear();
        if nowMs >= self.startMs + 2 * LIST_WINDOW_MS {
            let mostMs = LIST_GAP_MOST_MS.min(2 * self.gapMs);
            self.gapMs = self.gapMs.max(gapMs).min(mostMs);
            self.changedMs = nowMs;
        }
    }

    /// A pace too slow for what it is needed for is tried a little quicker, but seldom.
    pub fn relax(&mut self, nowMs: u64) {
        if nowMs >= self.changedMs + LIST_RELAX_MS {
            self.changedMs = nowMs;
            self.gapMs = (self.gapMs * 9 / 10).max(self.leastMs);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A list that takes so many within a second, from whoever asks.
    fn refusals(perS: usize, seconds: u64) -> (u64, u64) {
        let mut pace = Pace::new(0, LIST_GAP_MS);
        let mut served: VecDeque<u64> = VecDeque::new();
        let (mut nowMs, mut pages) = (1_000, 0);
        while nowMs < 1_000 + seconds * 1_000 {
            nowMs += 20;
            if !pace.permits(nowMs, false) {
                continue;
            }
            pace.asked(nowMs);
            served.retain(|atMs| nowMs < atMs + 1_000);
            if served.len() < perS {
                served.push_back(nowMs);
                pages += 1;
            } else {
                pace.refused(nowMs);
                nowMs += 1_000;
            }
        }
        (pace.refusals, pages)
    }

    #[test]
    fn a_rate_that_is_told_is_used_and_never_run_into() {
        let mut pace = Pace::new(0, 26);
        let mut asked: VecDeque<u64> = VecDeque::new();
        let mut most = 0;
        for nowMs in 1_000..11_000 {
            if pace.permits(nowMs, nowMs < 2_000) {
                pace.asked(nowMs);
                asked.push_back(nowMs);
            }
            asked.retain(|atMs| nowMs < atMs + 1_000);
            most = most.max(asked.len());
        }
        assert!((35..=40).contains(&most), "{most} of 52 a second");
        let heir = Pace::handed(11_000, 26, 26, &[]);
        assert_eq!((heir.gapMs(), heir.least()), (26, 26), "an heir keeps it");
    }

    #[test]
    fn a_rate_limit_is_learnt_once_and_not_run_into_again() {
        for perS in [1, 2, 3, 5, 8, 20] {
            let (refusals, pages) = refusals(perS, 120);
            assert!(refusals <= 4, "{refusals} refusals at {perS} a second");
            let least = 120 * perS.min(7) as u64 * 3 / 4;
            assert!(pages >= least, "{pages} pages at {perS} a second");
        }
    }
}
