//! Phase: chooses one of the route's weighted services, and describes the request to the flow that
//! selects its targets.
//!
//! `RequestFlow` selects the target of each attempt with `postbarrow_routing::select_target`, from
//! the table that is in force at that time.

use super::request_state::IncomingRequest;
use crate::balancing::draw_service;
use crate::shared::Shared;
use postbarrow_downstream::head::Head;
use postbarrow_node::RequestContext;
use postbarrow_routing::Entry;
use postbarrow_state::{Digest, Name, RouteKind};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Returns the description of a request for its flow, and its route with one weighted service
/// chosen.
pub fn select_service(shared: &Shared, incoming: &IncomingRequest) -> (RequestContext, Arc<Entry>) {
    let dialect = shared.dialect.as_ref();
    let seed = shared.own.incarnation ^ shared.keys.next_number();
    let entry = draw_service(&incoming.entry, seed);
    let route_deadline_ms = incoming.start_ms + entry.route().deadline_ms;
    let client_deadline_ms =
        dialect.client_timeout_ms(incoming.head).map(|wait_ms| incoming.arrived_ms + wait_ms);
    let uses_tickets = dialect.target_identification().is_none();
    let is_ticketed = uses_tickets && entry.route().kind == RouteKind::OneTime;
    let key = dialect.idempotency_key(incoming.head);
    let context = RequestContext {
        key: match key {
            Some(key) => Name::from(key),
            None if is_ticketed => shared.keys.synthesize_key(),
            None => Name::default(),
        },
        keyed: key.is_some(),
        digest: if is_ticketed { digest(incoming.head, &incoming.body) } else { [0; 32] },
        uses_ticket_log: uses_tickets,
        node: shared.own.incarnation,
        zone: shared.own.zone.clone(),
        deadline_ms: client_deadline_ms
            .map_or(route_deadline_ms, |client_ms| route_deadline_ms.min(client_ms)),
        seed,
    };
    (context, entry)
}

/// Returns the digest of method, target and body. Requests under one key count as repeats of each
/// other only if their digests are equal.
fn digest(head: &Head, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for field in [head.method.as_bytes(), head.target.as_bytes(), body] {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.finalize().into()
}
