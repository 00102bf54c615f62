//! A target of the endpoint list.

use crate::{Labels, Name, Service};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A process that runs requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Names the process.
    pub instance: Name,
    /// The service that it says it runs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: Name,
    /// Further labels.
    pub labels: Labels,
    /// It takes no new requests and finishes what it has.
    pub draining: bool,
    /// Data nodes' probes of it fail.
    pub down: bool,
    /// Requests that it runs at the same time; 0: unknown.
    #[serde(default)]
    pub slots: u64,
    /// It started a short while ago and is still slow.
    #[serde(default)]
    pub warming_up: bool,
}

impl Target {
    /// Whether it has all labels of a service.
    pub fn matches(&self, service: &Service) -> bool {
        service.labels.iter().all(|(label, value)| match label.as_str() {
            "service" => self.service == *value,
            "zone" => self.zone == *value,
            _ => self.labels.get(label) == Some(value),
        })
    }

    /// Whether it may run a service's requests: it matches, and is neither draining nor down.
    pub fn is_live_for(&self, service: &Service) -> bool {
        !self.draining && !self.down && self.matches(service)
    }
}
