//! What only the leader has, by concern. It is lost with the term, and rebuilt from the log.

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
pub(crate) use reply::{Cover, Reply};
pub(crate) use request_samples::RequestSamples;
pub(crate) use retention::Retention;

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
    pub retention: Retention,
    pub watches: PendingWatches,
    pub shedding: SheddingCounts,
    /// Since when the leader's lease has lasted without a break.
    pub lease_since_ms: Option<u64>,
}

/// What was shed for lack of space since this node leads.
#[derive(Default)]
pub(crate) struct SheddingCounts {
    /// Requests and calls.
    pub requests: u64,
    /// Responses that were not stored while their settlement was.
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
            retention: Retention::new(now_ms),
            watches: PendingWatches::default(),
            shedding: SheddingCounts::default(),
            lease_since_ms: None,
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether everything that earlier leaders committed is applied, so that requests are served.
    pub fn is_serving(&self) -> bool {
        self.writer.is_started()
    }

    /// Starts serving on the committed state.
    pub fn start_serving(&mut self, now_ms: u64, state: State) {
        self.locks = LockDeadlines::of(now_ms, &state);
        self.retention.restore(now_ms, &state);
        self.nodes = NodeRegistry::of(now_ms, &state);
        self.writer.start(self.term, state);
    }
}
