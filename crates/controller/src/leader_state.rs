//! The working state that only the leader has, one module for each concern. It is dropped at the
//! end of the term; the next leader rebuilds its own from the log.

mod lock_deadlines;
mod log_writer;
mod node_registry;
mod open_plan;
mod pending_watches;
mod plan_transaction;
mod reply;
mod request_samples;
mod retention;

pub(crate) use lock_deadlines::LockDeadlines;
pub(crate) use log_writer::LogWriter;
pub(crate) use node_registry::{NodeRegistry, NodeReport, unknown_settlements};
pub(crate) use open_plan::OpenPlan;
pub(crate) use pending_watches::{PendingWatch, PendingWatches};
pub(crate) use plan_transaction::PlanTransaction;
pub(crate) use reply::{Precondition, Reply};
pub(crate) use request_samples::RequestSamples;
pub(crate) use retention::Retention;

use crate::GrantVersions;
use crate::endpoint_list::EndpointListPoller;
use postbarrow_state::State;

/// The leader's working state of one term.
pub(crate) struct LeaderState {
    term: u64,
    pub writer: LogWriter,
    pub transaction: PlanTransaction,
    pub nodes: NodeRegistry,
    pub samples: RequestSamples,
    pub endpoint_list: EndpointListPoller,
    pub locks: LockDeadlines,
    pub grants: GrantVersions,
    pub retention: Retention,
    pub watches: PendingWatches,
    pub shedding: SheddingCounts,
    /// When the current lease was gained, in milliseconds; `None` while this leader has no lease.
    pub lease_since_ms: Option<u64>,
}

/// Counts of what was shed for lack of space since this node became the leader.
#[derive(Default)]
pub(crate) struct SheddingCounts {
    /// Requests and calls that were answered with `Response::Full`.
    pub requests: u64,
    /// Responses that were not stored with their ticket's settlement.
    pub responses: u64,
}

impl LeaderState {
    pub fn new(term: u64, now_ms: u64, list_gap_ms: u64) -> Self {
        LeaderState {
            term,
            writer: LogWriter::default(),
            transaction: PlanTransaction::default(),
            nodes: NodeRegistry::default(),
            samples: RequestSamples::default(),
            endpoint_list: EndpointListPoller::new(now_ms, list_gap_ms),
            locks: LockDeadlines::default(),
            grants: GrantVersions::new(term),
            retention: Retention::new(now_ms),
            watches: PendingWatches::default(),
            shedding: SheddingCounts::default(),
            lease_since_ms: None,
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether this leader serves requests: everything that earlier leaders committed is
    /// applied.
    pub fn is_serving(&self) -> bool {
        self.writer.is_started()
    }

    /// Starts serving requests from this committed state.
    pub fn start_serving(&mut self, now_ms: u64, state: State) {
        self.locks = LockDeadlines::from_state(now_ms, &state);
        self.retention.restore(now_ms, &state);
        self.nodes = NodeRegistry::from_state(now_ms, &state);
        self.writer.start(self.term, state);
    }
}
