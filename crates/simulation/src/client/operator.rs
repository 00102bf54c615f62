//! Operators and the orders (submissions of plans) that they send.

use postbarrow_controller_client::ControllerClient;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One order as an operator sent it; the plan's routes and services are in its text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The version of the order's plan.
    pub version: String,
    /// The version of the plan that the order changes; `None` for the first plan.
    pub base: Option<String>,
    /// The order's plan as JSON text.
    pub text: String,
}

/// The effect that an operator expects of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The plan comes into force.
    Change,
    /// The plan is checked and does not come into force.
    DryRun,
    /// The order was acknowledged or refused before, and the response must be the same.
    Repeat,
}

/// An order that was submitted, with its expected effect.
#[derive(Clone, Debug)]
pub struct SubmittedOrder {
    /// The order as it was sent.
    pub order: Order,
    /// Number of routes of the order's plan.
    pub routes: usize,
    /// The expected effect of the order.
    pub purpose: Purpose,
}

/// The operators, who submit plans, at times several at once on one base.
pub struct Operator {
    /// The address at which the operators receive responses.
    pub address: SocketAddr,
    /// The newest version that the operators know to be in force; `None` before the first plan.
    pub version: Option<String>,
    /// Number of acknowledgements of plans.
    pub acknowledged: u64,
    /// Number of refusals of plans.
    pub refusals: u64,
    /// The text of the plan in force, as last requested with `World::request_plan_in_force`; `None`
    /// before a response.
    pub shown_plan: Option<String>,
    /// Texts of submitted plans whose order has no conclusive response yet, so that they may be in
    /// force.
    pub possibly_in_force: BTreeSet<String>,
    /// Texts of all plans that were prepared, by version. Of several plans with one version, the
    /// one prepared last counts until one is acknowledged, and then the acknowledged one.
    pub texts: BTreeMap<String, String>,
    /// The client through which the operators send requests to the controller.
    pub(crate) controller_client: ControllerClient,
    /// Pending orders, by the key of their request.
    pub(crate) submitted: BTreeMap<u64, SubmittedOrder>,
    /// The key of the newest request.
    pub(crate) key: u64,
    /// The number in the newest version that was prepared.
    pub number: u64,
}

impl Operator {
    /// Creates operators at this address who know of no plan.
    pub fn new(address: SocketAddr) -> Self {
        Operator {
            address,
            version: None,
            acknowledged: 0,
            refusals: 0,
            shown_plan: None,
            possibly_in_force: BTreeSet::new(),
            texts: BTreeMap::new(),
            controller_client: ControllerClient::default(),
            submitted: BTreeMap::new(),
            key: 0,
            number: 0,
        }
    }

    /// Records the version in force, unless it is older than the recorded one: responses may
    /// overtake each other.
    pub(crate) fn record_version(&mut self, version: String) {
        let number = |version: &str| version.strip_prefix('v')?.parse::<u64>().ok();
        if number(&version) > self.version.as_deref().and_then(number) {
            self.version = Some(version);
        }
    }
}

impl Operator {
    /// Returns whether a plan is in force and no order of the operators is pending.
    pub fn is_idle(&self) -> bool {
        self.submitted.is_empty() && self.version.is_some()
    }
}
