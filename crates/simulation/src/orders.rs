//! What operators were told of their orders, compared at every answer.

use std::collections::{BTreeMap, BTreeSet};

/// One order as it was sent: its text carries everything else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    pub version: String,
    pub base: Option<String>,
    pub text: String,
}

/// Orders acknowledged and refused so far. Each check gives what it finds wrong.
#[derive(Debug, Default)]
pub struct OrderLedger {
    by_version: BTreeMap<String, String>,
    by_base: BTreeMap<Option<String>, String>,
    accepted: BTreeSet<Order>,
    refused: BTreeSet<Order>,
}

impl OrderLedger {
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

    pub fn refused(&mut self, order: &Order) -> Vec<String> {
        let mut found = Vec::new();
        if self.accepted.contains(order) {
            found.push(format!("{} was refused after it was acknowledged", order.version));
        }
        self.refused.insert(order.clone());
        found
    }

    /// In an order that is the same in every run of a seed.
    pub fn accepted_orders(&self) -> Vec<&Order> {
        self.accepted.iter().collect()
    }

    pub fn refused_orders(&self) -> Vec<&Order> {
        self.refused.iter().collect()
    }
}
