//! Pinned clients: operators and callers that send everything to one control machine.

use crate::client::operator::SubmittedOrder;
use postbarrow_controller_client::ControllerClient;
use postbarrow_state::Call;
use std::collections::BTreeMap;

/// How long a request waits at its machine.
pub const WAIT_MS: u64 = 2_500;

/// The number that only these callers increment. Its text is part of what a seed determines.
pub const OWN_NUMBER: &str = "clung";

/// A request of a pinned client.
#[derive(Clone, Debug)]
pub enum PinnedRequest {
    /// Shows the plan in force.
    Show,
    /// Submits an order.
    Order(SubmittedOrder),
    /// Calls for a number or a key.
    Call(Call),
}

/// A request without a response so far.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    pub(crate) start_us: u64,
    pub(crate) request: PinnedRequest,
}

/// The clients of one control machine that never try another.
pub struct PinnedClients {
    /// The control machine's index.
    pub at: usize,
    /// Requests that were answered.
    pub answered: usize,
    /// Requests answered as unavailable.
    pub unavailable: usize,
    /// Requests that timed out.
    pub unclear: usize,
    /// For each request answered as unavailable, when it was sent and how long it waited.
    pub waits_us: Vec<(u64, u64)>,
    /// Acknowledged numbers, and how many requests for one had no clear outcome.
    pub numbers: Vec<u64>,
    /// Requests for a number without a clear outcome.
    pub numbers_unclear: usize,
    /// Orders submitted.
    pub orders: usize,
    pub(crate) incarnation: u64,
    pub(crate) controller_client: ControllerClient,
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    pub(crate) key: u64,
    /// The pending order, and since when it is pending.
    pub order: Option<(u64, SubmittedOrder)>,
}

impl PinnedClients {
    pub(crate) fn new(at: usize, incarnation: u64) -> Self {
        PinnedClients {
            at,
            answered: 0,
            unavailable: 0,
            unclear: 0,
            waits_us: Vec::new(),
            numbers: Vec::new(),
            numbers_unclear: 0,
            orders: 0,
            incarnation,
            controller_client: ControllerClient::default(),
            pending: BTreeMap::new(),
            key: 0,
            order: None,
        }
    }

    /// Whether an order is pending.
    pub fn has_order(&self) -> bool {
        self.order.is_some()
    }

    /// Requests that should have had a response by then.
    pub fn overdue(&self, now_us: u64) -> usize {
        let due_us = (WAIT_MS + 500) * 1_000;
        self.pending.values().filter(|pending| now_us > pending.start_us + due_us).count()
    }
}

impl PinnedClients {
    /// Whether this is the order that is still pending.
    pub fn is_order(&self, submitted: &SubmittedOrder) -> bool {
        self.order.as_ref().is_some_and(|(_, pending)| pending.order == submitted.order)
    }
}
