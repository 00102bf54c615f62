//! The endpoint that returns whether this node is ready for clients.

use crate::json_response::json;
use crate::shared::Shared;
use facet::Facet;
use postbarrow_node::TargetResponse;

/// The methods of the readiness endpoint.
pub const READINESS_METHODS: [&str; 2] = ["GET", "HEAD"];

#[derive(Facet)]
struct Readiness {
    ready: bool,
    version: Option<String>,
    offset: u64,
}

/// Returns status 200 if the node is ready for clients and 503 if not, with the version of the plan
/// in force (null without a plan) and the log offset of the routing table.
pub fn readiness(shared: &Shared) -> TargetResponse {
    let table = shared.routing.load();
    let ready = shared.is_ready();
    let version = table.state.plan_version().map(str::to_string);
    json(if ready { 200 } else { 503 }, &Readiness { ready, version, offset: table.offset })
}
