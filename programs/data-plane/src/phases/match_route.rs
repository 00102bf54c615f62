//! Phase: finds the route of a request in the table in force.

use super::rejection::Rejection;
use crate::shared::Shared;
use postbarrow_downstream::head::Head;
use postbarrow_node::{ExecutionEvidence, RequestOutcome};
use postbarrow_routing::{Entry, RouteMatch, Table};
use postbarrow_state::RouteKind;
use std::sync::Arc;

/// The route of a request, in the table that was in force when it arrived.
pub struct MatchedRoute {
    /// The table.
    pub table: Arc<Table>,
    /// The route.
    pub entry: Arc<Entry>,
    /// What may be promised of the request.
    pub evidence: ExecutionEvidence,
}

impl MatchedRoute {
    /// Whether its requests run at most once.
    pub fn is_one_time(&self) -> bool {
        self.evidence.one_time
    }
}

/// Finds the route, while the lease is valid.
///
/// # Errors
/// The node has no lease, no route has the path, or the route has no such method.
pub fn match_route(shared: &Shared, head: &Head) -> Result<MatchedRoute, Rejection> {
    let keyed = shared.dialect.idempotency_key(head).is_some();
    // Without its route a keyed request counts as one-time: it may have run under its key before.
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
