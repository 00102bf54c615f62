use crate::{ControlNode, Origin};
use postbarrow_constants::plans::{SAMPLES, SAMPLES_RETENTION_MS};
use postbarrow_messages::Response;
use postbarrow_state::Sample;
use std::collections::VecDeque;

/// Recent asks as nodes told of them, while this controller leads.
#[derive(Default)]
pub(crate) struct Samples {
    since_ms: Option<u64>,
    samples: VecDeque<(u64, Sample)>,
    request_counts: VecDeque<(u64, u64)>,
}

impl Samples {
    pub fn take(&mut self, now_ms: u64, recent: Vec<Sample>, request_counts: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.samples.extend(recent.into_iter().map(|sample| (now_ms, sample)));
        if request_counts > 0 {
            self.request_counts.push_back((now_ms, request_counts));
        }
        let old = |at_ms: u64| now_ms > at_ms + SAMPLES_RETENTION_MS;
        while self.samples.len() > SAMPLES
            || self.samples.front().is_some_and(|(at_ms, _)| old(*at_ms))
        {
            self.samples.pop_front();
        }
        while self.request_counts.front().is_some_and(|(at_ms, _)| old(*at_ms)) {
            self.request_counts.pop_front();
        }
    }
}

impl ControlNode {
    pub(crate) fn on_request_samples(&mut self, now_ms: u64, origin: Origin) {
        let Some(leader) = &self.leader else { return };
        let samples = &leader.samples;
        let first_ms =
            samples.since_ms.unwrap_or(now_ms).max(now_ms.saturating_sub(SAMPLES_RETENTION_MS));
        let response = Response::RequestSamples {
            samples: samples.samples.iter().map(|(_, sample)| sample.clone()).collect(),
            seen: samples.request_counts.iter().map(|(_, request_counts)| request_counts).sum(),
            seconds: now_ms.saturating_sub(first_ms).div_ceil(1_000),
        };
        self.respond(origin, response);
    }
}
