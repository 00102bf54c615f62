//! A submitted plan on its way into the log.

use crate::origin::Origin;
use postbarrow_constants::plans::BATCHES_IN_FLIGHT;
use postbarrow_messages::Submission;
use postbarrow_state::{Digest, Name, Record};
use postbarrow_transactions::split;
use std::collections::VecDeque;

/// What the open transaction stages: what is still to be proposed, and what is not committed yet.
pub(crate) struct OpenPlan {
    pub origin: Origin,
    pub version: Name,
    pub base: Option<Name>,
    pub digest: Digest,
    pub dry_run: bool,
    pub allow_empty: bool,
    batches: VecDeque<Vec<Record>>,
    in_flight: VecDeque<u64>,
}

impl OpenPlan {
    /// A plan whose Begin has this offset. `records` are those of the submission that go into the
    /// log.
    pub fn new(
        origin: Origin,
        submission: Submission,
        digest: Digest,
        records: Vec<Record>,
        begin_offset: u64,
    ) -> Self {
        OpenPlan {
            origin,
            version: submission.version,
            base: submission.base,
            digest,
            dry_run: submission.dry_run,
            allow_empty: submission.allow_empty,
            batches: split(records).into(),
            in_flight: VecDeque::from([begin_offset]),
        }
    }

    pub fn on_committed(&mut self, commit_index: u64) {
        while self.in_flight.front().is_some_and(|offset| *offset <= commit_index) {
            self.in_flight.pop_front();
        }
    }

    pub fn is_at_flight_limit(&self) -> bool {
        self.in_flight.len() >= BATCHES_IN_FLIGHT
    }

    pub fn next_batch(&mut self) -> Option<Vec<Record>> {
        self.batches.pop_front()
    }

    pub fn on_proposed(&mut self, offset: u64) {
        self.in_flight.push_back(offset);
    }
}
