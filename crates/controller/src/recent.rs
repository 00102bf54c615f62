use crate::{ControlNode, Origin};
use postbarrow_constants::plans::{SAMPLES, SAMPLES_KEEP_MS};
use postbarrow_messages::Response;
use postbarrow_state::Sample;
use std::collections::VecDeque;

/// Recent asks as nodes told of them, while this controller leads.
#[derive(Default)]
pub(crate) struct Samples {
    sinceMs: Option<u64>,
    kept: VecDeque<(u64, Sample)>,
    seen: VecDeque<(u64, u64)>,
}

impl Samples {
    pub fn take(&mut self, nowMs: u64, recent: Vec<Sample>, seen: u64) {
        self.sinceMs.get_or_insert(nowMs);
        self.kept.extend(recent.into_iter().map(|sample| (nowMs, sample)));
        if seen > 0 {
            self.seen.push_back((nowMs, seen));
        }
        let old = |atMs: u64| nowMs > atMs + SAMPLES_KEEP_MS;
        while self.kept.len() > SAMPLES || self.kept.front().is_some_and(|(atMs, _)| old(*atMs)) {
            self.kept.pop_front();
        }
        while self.seen.front().is_some_and(|(atMs, _)| old(*atMs)) {
            self.seen.pop_front();
        }
    }
}

impl ControlNode {
    pub(crate) fn on_recent(&mut self, nowMs: u64, origin: Origin) {
        if self.refuse_without_hold(nowMs, origin) {
            return;
        }
        let Some(lead) = &self.lead else { return };
        let samples = &lead.samples;
        let firstMs = samples.sinceMs.unwrap_or(nowMs).max(nowMs.saturating_sub(SAMPLES_KEEP_MS));
        let response = Response::Recent {
            samples: samples.kept.iter().map(|(_, sample)| sample.clone()).collect(),
            seen: samples.seen.iter().map(|(_, seen)| seen).sum(),
            seconds: nowMs.saturating_sub(firstMs).div_ceil(1_000),
        };
        self.respond(origin, response);
    }
}
