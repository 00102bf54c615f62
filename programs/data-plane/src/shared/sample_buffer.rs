//! Samples of client requests, for rehearsals of plans.

use crossbeam_queue::ArrayQueue;
use postbarrow_constants::plans::{SAMPLE_BYTES, SAMPLES_PENDING, SAMPLES_PER_REPORT};
use postbarrow_downstream::head::{BodyFraming, Head};
use postbarrow_routing::Table;
use postbarrow_state::{Name, Sample};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Samples of some client requests, and the number of all requests since the last report.
pub struct SampleBuffer {
    samples: ArrayQueue<Sample>,
    observed: AtomicU64,
}

impl Default for SampleBuffer {
    fn default() -> Self {
        SampleBuffer { samples: ArrayQueue::new(SAMPLES_PENDING), observed: AtomicU64::new(0) }
    }
}

impl SampleBuffer {
    /// Counts a request, and samples it if the buffer has space and its path is at most
    /// `SAMPLE_BYTES` long. A sample contains only the headers that the rules of routes read, and
    /// of these only the ones whose value is at most `SAMPLE_BYTES` long.
    pub fn observe(&self, table: &Table, head: &Head) {
        self.observed.fetch_add(1, Relaxed);
        if self.samples.is_full() || head.path().len() > SAMPLE_BYTES {
            return;
        }
        let rule_headers = table.rule_headers();
        let is_sampled = |(name, value): &&(String, String)| {
            !rule_headers.is_empty()
                && rule_headers.contains(&name.to_ascii_lowercase())
                && value.len() <= SAMPLE_BYTES
        };
        let sample = Sample {
            method: Name::from(&head.method),
            path: head.path().to_string(),
            headers: head.headers.iter().filter(is_sampled).cloned().collect(),
            body_bytes: match head.framing {
                BodyFraming::Sized(size_bytes) => size_bytes,
                BodyFraming::None | BodyFraming::Chunked => 0,
            },
        };
        let _ = self.samples.push(sample);
    }

    /// Removes and returns at most `SAMPLES_PER_REPORT` samples, with the number of requests
    /// observed since the last call.
    pub fn drain(&self) -> (Vec<Sample>, u64) {
        let samples = std::iter::from_fn(|| self.samples.pop()).take(SAMPLES_PER_REPORT).collect();
        (samples, self.observed.swap(0, Relaxed))
    }
}
