//! Record of the responses to operators' orders, each compared with the earlier ones.

use crate::client::operator::Order;
use std::collections::{BTreeMap, BTreeSet};

/// The orders acknowledged and refused so far.
#[derive(Debug, Default)]
pub struct OrderLedger {
    /// The plan text acknowledged for each version.
    by_version: BTreeMap<String, String>,
    /// The version acknowledged on each base.
    by_base: BTreeMap<Option<String>, String>,
    accepted: BTreeSet<Order>,
    refused: BTreeSet<Order>,
}

impl OrderLedger {
    /// Records an acknowledgement and returns the violations that follow: another text acknowledged
    /// for the version, another version on the base, or a refusal of the same order.
    pub fn record_acknowledgement(&mut self, order: &Order) -> Vec<String> {
        let mut violations = Vec::new();
        let known = self.by_version.entry(order.version.clone()).or_insert(order.text.clone());
        if *known != order.text {
            violations.push(format!("two texts were acknowledged as {}", order.version));
        }
        let known = self.by_base.entry(order.base.clone()).or_insert(order.version.clone());
        if *known != order.version {
            violations.push(format!("two plans were acknowledged on base {:?}", order.base));
        }
        if self.refused.contains(order) {
            violations.push(format!("{} was acknowledged after it was refused", order.version));
        }
        self.accepted.insert(order.clone());
        violations
    }

    /// Records a refusal and returns a violation if the same order was acknowledged before.
    pub fn record_refusal(&mut self, order: &Order) -> Vec<String> {
        let mut violations = Vec::new();
        if self.accepted.contains(order) {
            violations.push(format!("{} was refused after it was acknowledged", order.version));
        }
        self.refused.insert(order.clone());
        violations
    }

    /// Returns the acknowledged orders, sorted, so that every run of a seed has the same sequence.
    pub fn accepted_orders(&self) -> Vec<&Order> {
        self.accepted.iter().collect()
    }

    /// Returns the refused orders, sorted, so that every run of a seed has the same sequence.
    pub fn refused_orders(&self) -> Vec<&Order> {
        self.refused.iter().collect()
    }
}
