//! Client requests that the node reports for rehearsals.

use postbarrow_constants::plans::SAMPLES_PER_REPORT;
use postbarrow_state::Sample;

/// Requests since the last report.
#[derive(Default)]
pub(crate) struct RequestSamples {
    /// At most `SAMPLES_PER_REPORT`.
    pub samples: Vec<Sample>,
    /// How many requests there were.
    pub observed: u64,
}

impl RequestSamples {
    pub fn add(&mut self, samples: Vec<Sample>, observed: u64) {
        self.samples.extend(samples);
        self.samples.truncate(SAMPLES_PER_REPORT);
        self.observed += observed;
    }
}
