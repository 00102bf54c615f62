//! A submitted plan whose transaction is open.

use crate::origin::Origin;
use postbarrow_constants::plans::BATCHES_IN_FLIGHT;
use postbarrow_messages::Submission;
use postbarrow_state::{Digest, Name, Record};
use postbarrow_transactions::BatchRecord;
use std::collections::VecDeque;

/// The plan of the open transaction, with its batches that are not proposed or not committed yet.
pub(crate) struct OpenPlan {
    pub origin: Origin,
    pub version: Name,
    pub base: Option<Name>,
    pub digest: Digest,
    pub dry_run: bool,
    pub allow_empty: bool,
    /// Batches that are not proposed yet, in order.
    batches: VecDeque<Vec<BatchRecord<Record>>>,
    /// Log offsets of the entries that are proposed but not known to be committed, in order.
    in_flight: VecDeque<u64>,
}

impl OpenPlan {
    /// Creates the open plan of a submission whose Begin has this log offset. `batches` are what is
    /// written to the log between Begin and End.
    pub fn new(
        origin: Origin,
        submission: Submission,
        digest: Digest,
        batches: Vec<Vec<BatchRecord<Record>>>,
        begin_offset: u64,
    ) -> Self {
        OpenPlan {
            origin,
            version: submission.version,
            base: submission.base,
            digest,
            dry_run: submission.dry_run,
            allow_empty: submission.allow_empty,
            batches: batches.into(),
            in_flight: VecDeque::from([begin_offset]),
        }
    }

    pub fn on_committed(&mut self, commit_index: u64) {
        while self.in_flight.front().is_some_and(|offset| *offset <= commit_index) {
            self.in_flight.pop_front();
        }
    }

    pub fn is_at_in_flight_limit(&self) -> bool {
        self.in_flight.len() >= BATCHES_IN_FLIGHT
    }

    pub fn next_batch(&mut self) -> Option<Vec<BatchRecord<Record>>> {
        self.batches.pop_front()
    }

    pub fn on_proposed(&mut self, offset: u64) {
        self.in_flight.push_back(offset);
    }
}
