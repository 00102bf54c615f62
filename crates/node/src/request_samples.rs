//! Samples of client requests that the node reports to the controller, for plan rehearsals.

use postbarrow_constants::plans::SAMPLES_PER_REPORT;
use postbarrow_state::Sample;

/// The client requests since the last report: samples and their total number.
#[derive(Default)]
pub(crate) struct RequestSamples {
    /// Samples of these requests, at most `SAMPLES_PER_REPORT`.
    pub samples: Vec<Sample>,
    /// Number of all requests, sampled or not.
    pub observed: u64,
}

impl RequestSamples {
    pub fn add(&mut self, samples: Vec<Sample>, observed: u64) {
        self.samples.extend(samples);
        self.samples.truncate(SAMPLES_PER_REPORT);
        self.observed += observed;
    }
}
