//! The parts of a plan: services, routes and limits.

use crate::{Labels, Name};
use serde::{Deserialize, Serialize};

/// The plan in force: its version, its base and where its transaction began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanHead {
    /// The plan's version.
    pub version: Name,
    /// Version of the plan that this one was made from; `None` for the first plan.
    pub base: Option<Name>,
    /// Log offset of the batch with which this plan's transaction began.
    pub offset: u64,
}

/// A service. Its targets are those that have all its labels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name within the plan.
    pub name: Name,
    /// Labels that a target must have. The labels `service` and `zone` are compared with the
    /// target's fields of the same names.
    pub labels: Labels,
}

/// Whether a request may run more than once on targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may be attempted again, even if the outcome of an attempt is unknown.
    Lookup,
    /// The request runs at most once; a ticket in the log names the target that it is granted for.
    OneTime,
}

/// A rule that selects requests for a service, and sets their limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Pattern that the request's path must match.
    pub path: Name,
    /// Methods that the route accepts (RFC 9110, section 9).
    pub methods: Vec<Name>,
    /// Whether the route's requests may run more than once.
    pub kind: RouteKind,
    /// Service that gets the route's requests, unless `weighted_services` names several.
    pub service: Name,
    /// Condition on the request, in CEL; `None` matches every request.
    pub when: Option<String>,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Limit of requests per second; `None` for no limit.
    pub rate_per_s: Option<u64>,
    /// Limit of concurrent requests; `None` for no limit.
    pub concurrency: Option<u64>,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Host that a request must be for; `None` matches any host.
    #[serde(default)]
    pub host: Option<Name>,
    /// Services that share the route's requests by weight. If empty, `service` gets all requests.
    #[serde(default)]
    pub weighted_services: Vec<WeightedService>,
    /// Largest number of attempts of one request; `None` for the data node's own bound.
    #[serde(default)]
    pub max_attempts: Option<u64>,
    /// Time within which a response has its full value to the client, in milliseconds; `None` if
    /// the plan sets no target.
    #[serde(default)]
    pub latency_target_ms: Option<u64>,
    /// Priority when capacity is short: lower numbers are served first, 0 before all others.
    #[serde(default)]
    pub priority: u64,
}

impl Route {
    /// Returns the services that may run requests of this route.
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
    /// Weight relative to the route's other services; a service of weight 0 gets no requests.
    pub weight: u64,
}

/// Limits for each client connection. `None` stands for the data node's own limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: Option<u64>,
    /// How long the head of a request may take to arrive, in milliseconds.
    pub head_wait_ms: Option<u64>,
    /// How long a connection may be idle between requests, in milliseconds.
    pub idle_ms: Option<u64>,
}
