//! What a plan consists of: services, routes and limits.

use crate::{Labels, Name};
use serde::{Deserialize, Serialize};

/// Which plan is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanHead {
    /// The plan's version.
    pub version: Name,
    /// The version that it was made from; none for the first plan.
    pub base: Option<Name>,
    /// Log offset of the batch that began this plan.
    pub offset: u64,
}

/// A service: the targets that have its labels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name within the plan.
    pub name: Name,
    /// Labels that a target must have; `service` and `zone` mean the target's fields of that name.
    pub labels: Labels,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May be attempted again, also after an unknown outcome.
    Lookup,
    /// Runs once at most; a ticket in the log says where.
    OneTime,
}

/// Which requests a service gets, and their limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Path pattern.
    pub path: Name,
    /// Methods (RFC 9110, section 9).
    pub methods: Vec<Name>,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// The service, unless `weighted_services` names several.
    pub service: Name,
    /// A condition on the request, in CEL; none matches each request.
    pub when: Option<String>,
    /// The longest body of a request.
    pub body_bytes: u64,
    /// Requests per second; none: no limit.
    pub rate_per_s: Option<u64>,
    /// Requests in flight; none: no limit.
    pub concurrency: Option<u64>,
    /// How long a request may take.
    pub deadline_ms: u64,
    /// Only requests for this host; none: for any.
    #[serde(default)]
    pub host: Option<Name>,
    /// Services that share the route's requests by weight; empty: `service` gets all.
    #[serde(default)]
    pub weighted_services: Vec<WeightedService>,
    /// Attempts of one request at most; none: the node's own bound.
    #[serde(default)]
    pub max_attempts: Option<u64>,
    /// Within this time a response has its full value.
    #[serde(default)]
    pub latency_target_ms: Option<u64>,
    /// 0 is served first where capacity runs short.
    #[serde(default)]
    pub priority: u64,
}

impl Route {
    /// Every service that may run a request of this route.
    pub fn services(&self) -> Vec<&Name> {
        if self.weighted_services.is_empty() {
            return vec![&self.service];
        }
        let served = self.weighted_services.iter().filter(|weighted| weighted.weight > 0);
        served.map(|weighted| &weighted.service).collect()
    }
}

/// One of several services that share a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: Name,
    /// Its weight relative to the others'; 0: it gets no requests.
    pub weight: u64,
}

/// Limits for each client; what a plan leaves out is the node's own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The longest head of a request.
    pub head_bytes: Option<u64>,
    /// How long the head of a request may take to arrive.
    pub head_wait_ms: Option<u64>,
    /// How long a connection may be idle between requests.
    pub idle_ms: Option<u64>,
}
