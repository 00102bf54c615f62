//! The data of a request that the phases share, from one phase to the next.

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

/// A request that was read completely, matched a route and was admitted.
pub struct IncomingRequest<'a> {
    /// The route that the request matched.
    pub entry: Arc<Entry>,
    /// The request's head.
    pub head: &'a Head,
    /// The request's body, empty if it has none.
    pub body: Vec<u8>,
    /// The time from which the route's deadline is counted, in milliseconds of the boot-time clock:
    /// `arrived_ms` for a lookup without a body, otherwise the time at which the body was read.
    pub start_ms: u64,
    /// The time at which the head was read completely, in milliseconds of the boot-time clock.
    pub arrived_ms: u64,
    /// Detects the departure of the request's client.
    pub client: &'a ClientWatch<'a>,
}

/// The result of processing a request.
pub enum RequestEnd {
    /// The response to send to the client; the reservation, if any, covers the response's body.
    Respond(TargetResponse, Option<Reservation>),
    /// The client departed before there was a response; none is sent.
    ClientDeparted,
}

/// The state of a request during its attempts.
pub struct RequestState<'a> {
    /// The state that the node's threads share.
    pub shared: &'a Arc<Shared>,
    /// The request as it was received.
    pub incoming: &'a IncomingRequest<'a>,
    /// The service that was chosen among the route's weighted services.
    pub service: Name,
    /// Whether the request may be sent more than once, as a lookup may.
    pub is_repeatable: bool,
    /// The part of an attempt during which the departure of the client cancels it.
    cancel_scope: CancelScope,
    /// The attempt that is in progress.
    pub attempt: Attempt,
    /// The memory reservation for the body of the response; `None` until the forward phase of an
    /// attempt has run.
    pub response_memory: Option<Reservation>,
}

/// The resources of one attempt, kept between its phases.
#[derive(Default)]
pub struct Attempt {
    /// The selected target; `None` before the connect phase.
    pub target: Option<Arc<Target>>,
    /// The connection to the target, from the connect phase until the forward phase takes it;
    /// `None` otherwise.
    pub connection: Option<TargetConnection>,
    /// The request's count in the load of the target, from the connect phase until the forward
    /// phase takes it; `None` otherwise.
    pub load: Option<LoadPermit>,
}

impl<'a> RequestState<'a> {
    /// Returns the state of a request before its first attempt; `entry` is its route with one
    /// weighted service chosen.
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

    /// Returns when the departure of the request's client cancels an attempt.
    pub fn cancellation(&self) -> Cancellation<'a> {
        Cancellation::new(self.incoming.client, self.cancel_scope)
    }
}
