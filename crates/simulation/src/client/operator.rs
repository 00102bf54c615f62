//! Operators and the orders that they submit.

use postbarrow_controller_client::ControllerClient;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One order as it was sent; its text carries everything else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// The plan's version.
    pub version: String,
    /// The version that it changes; `None` for the first plan.
    pub base: Option<String>,
    /// The plan's text.
    pub text: String,
}

/// What an operator expects of an order that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To come into force.
    Change,
    /// To be checked only.
    DryRun,
    /// Acknowledged or refused before; the same response is due.
    Repeat,
}

/// An order that was submitted, with what is expected of it.
#[derive(Clone, Debug)]
pub struct SubmittedOrder {
    /// The order.
    pub order: Order,
    /// The number of its plan's routes.
    pub routes: usize,
    /// What is expected of it.
    pub purpose: Purpose,
}

/// Operators who submit plans, sometimes two at once on one base.
pub struct Operator {
    /// Their address.
    pub address: SocketAddr,
    /// The newest version that they know to be in force.
    pub version: Option<String>,
    /// Plans acknowledged.
    pub acknowledged: u64,
    /// Plans refused.
    pub refusals: u64,
    /// The plan's text as last shown.
    pub shown: Option<String>,
    /// Texts of plans that may or may not be in force.
    pub unsure: BTreeSet<String>,
    /// Texts of plans by version.
    pub texts: BTreeMap<String, String>,
    pub(crate) controller_client: ControllerClient,
    pub(crate) submitted: BTreeMap<u64, SubmittedOrder>,
    pub(crate) key: u64,
    /// The number of the last version that was prepared.
    pub number: u64,
}

impl Operator {
    /// Operators at this address who know no version.
    pub fn new(address: SocketAddr) -> Self {
        Operator {
            address,
            version: None,
            acknowledged: 0,
            refusals: 0,
            shown: None,
            unsure: BTreeSet::new(),
            texts: BTreeMap::new(),
            controller_client: ControllerClient::default(),
            submitted: BTreeMap::new(),
            key: 0,
            number: 0,
        }
    }

    /// Learns the version in force. Responses may overtake each other, so an older version is ignored.
    pub(crate) fn learn(&mut self, version: String) {
        let number = |version: &str| version.strip_prefix('v')?.parse::<u64>().ok();
        if number(&version) > self.version.as_deref().and_then(number) {
            self.version = Some(version);
        }
    }
}

impl Operator {
    /// Whether no order of its own is pending and a plan is in force.
    pub fn is_idle(&self) -> bool {
        self.submitted.is_empty() && self.version.is_some()
    }
}
