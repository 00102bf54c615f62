//! The endpoint that states whether this node is ready.

use crate::json_response::json;
use crate::shared::Shared;
use facet::Facet;
use postbarrow_node::TargetResponse;

#[derive(Facet)]
struct Readiness {
    ready: bool,
    version: Option<String>,
    offset: u64,
}

/// 200 if clients may be sent here and 503 if not, with the plan in force.
pub fn readiness(shared: &Shared) -> TargetResponse {
    let table = shared.routing.load();
    let ready = shared.is_ready();
    let version = table.state.plan_version().map(str::to_string);
    json(if ready { 200 } else { 503 }, &Readiness { ready, version, offset: table.offset })
}
