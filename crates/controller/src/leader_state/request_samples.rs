//! Samples of client requests, which operators use to rehearse plans.

use postbarrow_constants::plans::{SAMPLES_MAX, SAMPLES_RETENTION_MS};
use postbarrow_messages::Response;
use postbarrow_state::Sample;
use std::collections::VecDeque;

/// Recent client requests that data nodes have reported since this node became the leader.
#[derive(Default)]
pub(crate) struct RequestSamples {
    /// When the first report arrived, in milliseconds; `None` before it.
    since_ms: Option<u64>,
    /// Sampled requests with the time of their report in milliseconds, oldest first.
    samples: VecDeque<(u64, Sample)>,
    /// The time of each report in milliseconds and how many client requests it covers, oldest
    /// first.
    request_counts: VecDeque<(u64, u64)>,
}

impl RequestSamples {
    pub fn add(&mut self, now_ms: u64, samples: Vec<Sample>, request_count: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.samples.extend(samples.into_iter().map(|sample| (now_ms, sample)));
        if request_count > 0 {
            self.request_counts.push_back((now_ms, request_count));
        }
        let is_expired = |at_ms: u64| now_ms > at_ms + SAMPLES_RETENTION_MS;
        while self.samples.len() > SAMPLES_MAX
            || self.samples.front().is_some_and(|(at_ms, _)| is_expired(*at_ms))
        {
            self.samples.pop_front();
        }
        while self.request_counts.front().is_some_and(|(at_ms, _)| is_expired(*at_ms)) {
            self.request_counts.pop_front();
        }
    }

    pub fn response(&self, now_ms: u64) -> Response {
        let oldest_ms = now_ms.saturating_sub(SAMPLES_RETENTION_MS);
        let first_ms = self.since_ms.unwrap_or(now_ms).max(oldest_ms);
        Response::RequestSamples {
            samples: self.samples.iter().map(|(_, sample)| sample.clone()).collect(),
            seen: self.request_counts.iter().map(|(_, count)| count).sum(),
            seconds: now_ms.saturating_sub(first_ms).div_ceil(1_000),
        }
    }
}
