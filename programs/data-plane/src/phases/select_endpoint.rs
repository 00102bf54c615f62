//! Phase: draws one of the route's services, and describes the request to the flow that selects its
//! targets.
//!
//! The target of each attempt is selected by `RequestFlow` with `postbarrow_routing::select_target`,
//! in the table in force at that time.

use super::request_state::IncomingRequest;
use crate::balancing::draw_service;
use crate::shared::Shared;
use postbarrow_downstream::head::Head;
use postbarrow_node::RequestContext;
use postbarrow_routing::Entry;
use postbarrow_state::{Digest, Name, RouteKind};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// What the flow needs to know of a request, and its route with one service drawn.
pub fn select_service(shared: &Shared, incoming: &IncomingRequest) -> (RequestContext, Arc<Entry>) {
    let dialect = shared.dialect.as_ref();
    let seed = shared.own.incarnation ^ shared.keys.next_number();
    let entry = draw_service(&incoming.entry, seed);
    let until_ms = incoming.start_ms + entry.route().deadline_ms;
    let client_until_ms =
        dialect.client_timeout_ms(incoming.head).map(|wait_ms| incoming.arrived_ms + wait_ms);
    let logged = dialect.target_identification().is_none();
    let is_ticketed = logged && entry.route().kind == RouteKind::OneTime;
    let key = dialect.idempotency_key(incoming.head);
    let context = RequestContext {
        key: match key {
            Some(key) => Name::from(key),
            None if is_ticketed => shared.keys.synthesize_key(),
            None => Name::default(),
        },
        keyed: key.is_some(),
        digest: if is_ticketed { digest(incoming.head, &incoming.body) } else { [0; 32] },
        uses_ticket_log: logged,
        node: shared.own.incarnation,
        zone: shared.own.zone.clone(),
        deadline_ms: client_until_ms.map_or(until_ms, |client_ms| until_ms.min(client_ms)),
        seed,
    };
    (context, entry)
}

/// What makes two requests under one key the same request.
fn digest(head: &Head, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for field in [head.method.as_bytes(), head.target.as_bytes(), body] {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.finalize().into()
}
