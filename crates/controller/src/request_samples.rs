use crate::{ControlNode, Origin};
use postbarrow_constants::plans::{SAMPLES, SAMPLES_RETENTION_MS};
use postbarrow_messages::Response;
use postbarrow_state::Sample;
use std::collections::VecDeque;

/// Recent asks as nodes told of them, while this controller leads.
#[derive(Default)]
pub(crate) struct Samples {
    since_ms: Option<u64>,
    kept: VecDeque<(u64, Sample)>,
    seen: VecDeque<(u64, u64)>,
}

impl Samples {
    pub fn take(&mut self, now_ms: u64, recent: Vec<Sample>, seen: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.kept.extend(recent.into_iter().map(|sample| (now_ms, sample)));
        if seen > 0 {
            self.seen.push_back((now_ms, seen));
        }
        let old = |at_ms: u64| now_ms > at_ms + SAMPLES_RETENTION_MS;
        while self.kept.len() > SAMPLES || self.kept.front().is_some_and(|(at_ms, _)| old(*at_ms)) {
            self.kept.pop_front();
        }
        while self.seen.front().is_some_and(|(at_ms, _)| old(*at_ms)) {
            self.seen.pop_front();
        }
    }
}

impl ControlNode {
    pub(crate) fn on_request_samples(&mut self, now_ms: u64, origin: Origin) {
        let Some(lead) = &self.leader else { return };
        let samples = &lead.samples;
        let first_ms =
            samples.since_ms.unwrap_or(now_ms).max(now_ms.saturating_sub(SAMPLES_RETENTION_MS));
        let response = Response::RequestSamples {
            samples: samples.kept.iter().map(|(_, sample)| sample.clone()).collect(),
            seen: samples.seen.iter().map(|(_, seen)| seen).sum(),
            seconds: now_ms.saturating_sub(first_ms).div_ceil(1_000),
        };
        self.respond(origin, response);
    }
}
