//! Responses to operators' orders, compared at every response.

use crate::client::operator::Order;
use std::collections::{BTreeMap, BTreeSet};

/// Orders acknowledged and refused so far. Each check returns the violations that it finds.
#[derive(Debug, Default)]
pub struct OrderLedger {
    by_version: BTreeMap<String, String>,
    by_base: BTreeMap<Option<String>, String>,
    accepted: BTreeSet<Order>,
    refused: BTreeSet<Order>,
}

impl OrderLedger {
    /// Records an acknowledgement; returns the violations that it shows.
    pub fn acknowledged(&mut self, order: &Order) -> Vec<String> {
        let mut found = Vec::new();
        let known = self.by_version.entry(order.version.clone()).or_insert(order.text.clone());
        if *known != order.text {
            found.push(format!("two texts were acknowledged as {}", order.version));
        }
        let known = self.by_base.entry(order.base.clone()).or_insert(order.version.clone());
        if *known != order.version {
            found.push(format!("two plans were acknowledged on base {:?}", order.base));
        }
        if self.refused.contains(order) {
            found.push(format!("{} was acknowledged after it was refused", order.version));
        }
        self.accepted.insert(order.clone());
        found
    }

    /// Records a refusal; returns the violations that it shows.
    pub fn refused(&mut self, order: &Order) -> Vec<String> {
        let mut found = Vec::new();
        if self.accepted.contains(order) {
            found.push(format!("{} was refused after it was acknowledged", order.version));
        }
        self.refused.insert(order.clone());
        found
    }

    /// Acknowledged orders, in an order that is the same in every run of a seed.
    pub fn accepted_orders(&self) -> Vec<&Order> {
        self.accepted.iter().collect()
    }

    /// Refused orders, in an order that is the same in every run of a seed.
    pub fn refused_orders(&self) -> Vec<&Order> {
        self.refused.iter().collect()
    }
}
