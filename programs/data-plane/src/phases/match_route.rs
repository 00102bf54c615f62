//! Phase: finds the route of a request in the table in force.

use super::rejection::Rejection;
use crate::shared::Shared;
use postbarrow_downstream::head::Head;
use postbarrow_node::{ExecutionEvidence, RequestOutcome};
use postbarrow_routing::{Entry, RouteMatch, Table};
use postbarrow_state::RouteKind;
use std::sync::Arc;

/// The route of a request, from the table that was in force when the route was matched.
pub struct MatchedRoute {
    /// The routing table that contains the route.
    pub table: Arc<Table>,
    /// The matched route, with its limits.
    pub entry: Arc<Entry>,
    /// The facts that decide whether the node may state that the request did not run.
    pub evidence: ExecutionEvidence,
}

impl MatchedRoute {
    /// Returns whether the route's requests run at most once.
    pub fn is_one_time(&self) -> bool {
        self.evidence.one_time
    }
}

/// Finds the route of a request.
///
/// # Errors
/// Rejects the request if the node has no valid lease, no route matches the path, or the routes of
/// the path do not allow the method.
pub fn match_route(shared: &Shared, head: &Head) -> Result<MatchedRoute, Rejection> {
    let keyed = shared.dialect.idempotency_key(head).is_some();
    // A keyed request without a route is treated as one-time: it may have run under its key before.
    let unmatched = ExecutionEvidence { one_time: keyed, keyed, ..ExecutionEvidence::default() };
    let reject = |outcome| Err(Rejection::decided(shared, unmatched, outcome));
    if !shared.lease.is_valid() {
        return reject(RequestOutcome::Unready);
    }
    let table = shared.routing.load_full();
    shared.samples.observe(&table, head);
    match table.find(&head.method, head.path(), &head.headers) {
        RouteMatch::Route(entry) => {
            let one_time = entry.route().kind == RouteKind::OneTime;
            let evidence = ExecutionEvidence { one_time, keyed, ..ExecutionEvidence::default() };
            Ok(MatchedRoute { table, entry, evidence })
        }
        RouteMatch::NoRoute => reject(RequestOutcome::NoRoute),
        RouteMatch::OtherMethods(methods) => reject(RequestOutcome::OtherMethods(methods)),
    }
}
