//! The targets of the endpoint list.

use crate::{Labels, Name, Service};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A back-end process that runs requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the process, unique among targets.
    pub instance: Name,
    /// Service that the endpoint list states for the target.
    pub service: Name,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Zone in which the target runs; empty if the list states none.
    pub zone: Name,
    /// Labels besides `service` and `zone`.
    pub labels: Labels,
    /// Whether the target gets no new requests and only finishes those in flight.
    pub draining: bool,
    /// Whether data nodes' health probes of the target fail.
    pub down: bool,
    /// Number of requests that the target can run concurrently; 0 if unknown.
    #[serde(default)]
    pub slots: u64,
    /// Whether the target is in slow start: it started recently and gets fewer requests.
    #[serde(default)]
    pub warming_up: bool,
}

impl Target {
    /// Returns whether the target has all labels that the service requires.
    pub fn matches(&self, service: &Service) -> bool {
        service.labels.iter().all(|(label, value)| match label.as_str() {
            "service" => self.service == *value,
            "zone" => self.zone == *value,
            _ => self.labels.get(label) == Some(value),
        })
    }

    /// Returns whether the target may run the service's requests: it matches, and is neither
    /// draining nor down.
    pub fn is_live_for(&self, service: &Service) -> bool {
        !self.draining && !self.down && self.matches(service)
    }
}
