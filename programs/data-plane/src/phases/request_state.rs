//! What a request has in hand on its way through the phases.

use crate::balancing::LoadPermit;
use crate::shared::Shared;
use crate::target_connection::{CancelScope, Cancellation, TargetConnection};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::Head;
use postbarrow_downstream::memory_budget::Reservation;
use postbarrow_node::TargetResponse;
use postbarrow_routing::Entry;
use postbarrow_state::{Name, RouteKind, Target};
use std::sync::Arc;

/// A request that was read completely and matched its route.
pub struct IncomingRequest<'a> {
    /// The route.
    pub entry: Arc<Entry>,
    /// Its head.
    pub head: &'a Head,
    /// Its body.
    pub body: Vec<u8>,
    /// When the route's deadline starts to run, in milliseconds of the boot-time clock.
    pub start_ms: u64,
    /// When its head was read, on the same clock.
    pub arrived_ms: u64,
    /// Its client.
    pub client: &'a ClientWatch<'a>,
}

/// How a request ended here.
pub enum RequestEnd {
    /// Its client gets this response; the reservation covers the response's body.
    Respond(TargetResponse, Option<Reservation>),
    /// The client departed before.
    ClientDeparted,
}

/// A request during its attempts.
pub struct RequestState<'a> {
    /// The node's state.
    pub shared: &'a Arc<Shared>,
    /// The request.
    pub incoming: &'a IncomingRequest<'a>,
    /// The service that was drawn.
    pub service: Name,
    /// Whether it may be repeated, as a lookup may.
    pub is_repeatable: bool,
    /// For how long the departure of its client cancels it.
    cancel_scope: CancelScope,
    /// The attempt in progress.
    pub attempt: Attempt,
    /// Covers the body of the response.
    pub response_memory: Option<Reservation>,
}

/// What an attempt has in hand between its phases.
#[derive(Default)]
pub struct Attempt {
    /// The target.
    pub target: Option<Arc<Target>>,
    /// The connection to it.
    pub connection: Option<TargetConnection>,
    /// Counts the request at the target.
    pub load: Option<LoadPermit>,
}

impl<'a> RequestState<'a> {
    /// A request before its first attempt; `entry` is its route with one service drawn.
    pub fn new(
        shared: &'a Arc<Shared>,
        incoming: &'a IncomingRequest<'a>,
        entry: &Entry,
    ) -> RequestState<'a> {
        let is_repeatable = entry.route().kind != RouteKind::OneTime;
        let is_keyed = shared.dialect.idempotency_key(incoming.head).is_some();
        let cancel_scope = match (is_repeatable, is_keyed) {
            (true, _) => CancelScope::Always,
            (false, true) => CancelScope::Never,
            (false, false) => CancelScope::UntilSent,
        };
        RequestState {
            shared,
            incoming,
            service: entry.route().service.clone(),
            is_repeatable,
            cancel_scope,
            attempt: Attempt::default(),
            response_memory: None,
        }
    }

    /// The client whose departure cancels an attempt, and for how long.
    pub fn cancellation(&self) -> Cancellation<'a> {
        Cancellation::new(self.incoming.client, self.cancel_scope)
    }
}
