//! Pinned clients: operators and callers that send all requests to one control machine.

use crate::client::operator::SubmittedOrder;
use postbarrow_controller_client::ControllerClient;
use postbarrow_state::Call;
use std::collections::BTreeMap;

/// Time that a request may wait at the control machine for its response, in milliseconds.
pub const WAIT_MS: u64 = 2_500;

/// Name of the number that only the pinned clients increment. The name is encoded in messages and
/// logs, so that a seed's run depends on it.
pub const OWN_NUMBER: &str = "clung";

/// A request of a pinned client.
#[derive(Clone, Debug)]
pub enum PinnedRequest {
    /// A request for the plan in force.
    Show,
    /// A submission of an order.
    Order(SubmittedOrder),
    /// A call on a number or a key.
    Call(Call),
}

/// A request that a pinned client sent and that has no response so far.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The true time at which the request was sent, in microseconds.
    pub(crate) start_us: u64,
    pub(crate) request: PinnedRequest,
}

/// The clients that are pinned to one control machine and never send to another.
pub struct PinnedClients {
    /// The index of the control machine.
    pub at: usize,
    /// Number of requests with a response other than `Unavailable` and `TimedOut`.
    pub answered: usize,
    /// Number of requests answered with `Unavailable`.
    pub unavailable: usize,
    /// Number of requests answered with `TimedOut`.
    pub timed_out: usize,
    /// For each request answered with `Unavailable`, the true time at which it was sent and how
    /// long it waited, in microseconds.
    pub waits_us: Vec<(u64, u64)>,
    /// The values of `OWN_NUMBER` that increments returned, in the order of their responses.
    pub acknowledged_numbers: Vec<u64>,
    /// Number of increments of `OWN_NUMBER` of which it is unknown whether they were applied.
    pub unknown_increments: usize,
    /// Number of orders that the clients have prepared to submit.
    pub orders: usize,
    /// The incarnation of the control machine's process that received the pending requests.
    pub(crate) incarnation: u64,
    /// The client at the control machine that forwards the pinned clients' requests to the
    /// controller.
    pub(crate) controller_client: ControllerClient,
    /// Requests without a response, by key.
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    /// The key of the newest request.
    pub(crate) key: u64,
    /// The pending order, with the true time in microseconds at which it was prepared.
    pub order: Option<(u64, SubmittedOrder)>,
}

impl PinnedClients {
    pub(crate) fn new(at: usize, incarnation: u64) -> Self {
        PinnedClients {
            at,
            answered: 0,
            unavailable: 0,
            timed_out: 0,
            waits_us: Vec::new(),
            acknowledged_numbers: Vec::new(),
            unknown_increments: 0,
            orders: 0,
            incarnation,
            controller_client: ControllerClient::default(),
            pending: BTreeMap::new(),
            key: 0,
            order: None,
        }
    }

    /// Returns whether an order is pending.
    pub fn has_order(&self) -> bool {
        self.order.is_some()
    }

    /// Returns the number of requests that should have had a response before this true time.
    pub fn overdue(&self, now_us: u64) -> usize {
        let due_us = (WAIT_MS + 500) * 1_000;
        self.pending.values().filter(|pending| now_us > pending.start_us + due_us).count()
    }
}

impl PinnedClients {
    /// Returns whether this order is the pending one.
    pub fn is_order(&self, submitted: &SubmittedOrder) -> bool {
        self.order.as_ref().is_some_and(|(_, pending)| pending.order == submitted.order)
    }
}
