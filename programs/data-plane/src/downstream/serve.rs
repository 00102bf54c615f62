use crate::calls;
use crate::dialect::NodeEndpoint;
use crate::fair::{Counted, is_over_share};
use crate::forward::{self, Forwarded, Incoming};
use crate::share::{Place, Shared};
use postbarrow_constants::traffic::*;
use postbarrow_downstream::body;
use postbarrow_downstream::connection::{Connection, NextRequest, ReadLimits};
use postbarrow_downstream::head::{Head, Length, Reject};
use postbarrow_node::{Completion, ExecutionEvidence, RequestOutcome, TargetResponse};
use postbarrow_routing::{Entry, LimitExceeded, RouteMatch};
use postbarrow_state::RouteKind;
use postbarrow_transport::clock_ms;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Serves one client connection until either side ends it.
pub fn serve(mut connection: Connection, shared: &Arc<Shared>) {
    loop {
        let head = match connection.next_request(patience(shared), || shared.closed.load(Relaxed)) {
            NextRequest::Head(head) => head,
            NextRequest::Closed => return,
            NextRequest::Reject(reject) => {
                let unsure = matches!(reject.status, 408 | 431);
                return refuse(&mut connection, shared, reject, unsure);
            }
        };
        let keyed = shared.dialect.idempotency_key(&head).is_some();
        let last = |head: &Head| head.close || shared.stopping.load(Relaxed);
        match one(&mut connection, shared, &head) {
            Ok(Forwarded::ClientLeft) => return,
            Ok(Forwarded::Answered(response, _memory)) => {
                let close = last(&head);
                if connection.write(&response, &head.method, close).is_err() || close {
                    return;
                }
            }
            Err(Unread::Refused(response)) => {
                let _ = connection.write(&response, &head.method, true);
                return connection.linger();
            }
            Err(Unread::Rejected(reject)) => return refuse(&mut connection, shared, reject, keyed),
        }
    }
}

/// What the plan in force asks of callers, or else the node.
fn patience(shared: &Shared) -> ReadLimits {
    let table = shared.table.load();
    let (callers, own) = (&table.state.client_limits, ReadLimits::default());
    ReadLimits {
        head_bytes: callers.head_bytes.map_or(own.head_bytes, |bytes| bytes as usize),
        head_wait_ms: callers.head_wait_ms.unwrap_or(own.head_wait_ms),
        idle_ms: callers.idle_ms.unwrap_or(own.idle_ms),
    }
}

/// This request never ran; whether an earlier one under its key did, nobody here can say.
fn refuse(connection: &mut Connection, shared: &Shared, reject: Reject, unsure: bool) {
    if reject != body::CLIENT_DEPARTED {
        let response = shared.dialect.render_rejection(reject.status, unsure, reject.reason);
        let _ = connection.write(&response, "GET", true);
        connection.linger();
    }
}

/// Ends that leave a body unread, so that the connection can't go on.
enum Unread {
    Refused(TargetResponse),
    Rejected(Reject),
}

fn one(
    connection: &mut Connection,
    shared: &Arc<Shared>,
    head: &Head,
) -> Result<Forwarded, Unread> {
    let arrived_ms = clock_ms();
    match shared.dialect.node_endpoint(head) {
        Some(NodeEndpoint::Ready) => {
            skip_body(connection, shared, head)?;
            return Ok(Forwarded::Answered(calls::ready(shared), None));
        }
        Some(NodeEndpoint::Coordination) => {
            let until_ms = clock_ms() + BODY_WAIT_MS;
            let body = read_body(connection, shared, head, calls::BODY_BYTES, until_ms)?;
            let response = calls::serve(shared, head, &body.bytes, &connection.watch());
            return Ok(Forwarded::Answered(response, None));
        }
        None => {}
    }
    let turned = |about: ExecutionEvidence, told| {
        Unread::Refused(shared.dialect.render_completion(Completion {
            outcome: told,
            evidence: about,
            key: None,
        }))
    };
    let keyed = shared.dialect.idempotency_key(head).is_some();
    let unread = ExecutionEvidence { one_time: keyed, keyed, ..ExecutionEvidence::default() };
    if !shared.serves() {
        return Err(turned(unread, RequestOutcome::Unready));
    }
    let table = shared.table.load_full();
    shared.saw(&table, head);
    let entry = match table.find(&head.method, head.path(), &head.headers) {
        RouteMatch::Route(entry) => entry,
        RouteMatch::NoRoute => return Err(turned(unread, RequestOutcome::NoRoute)),
        RouteMatch::OtherMethods(methods) => {
            return Err(turned(unread, RequestOutcome::OtherMethods(methods)));
        }
    };
    let one_time = entry.route().kind == RouteKind::OneTime;
    let about = ExecutionEvidence { one_time, keyed, ..ExecutionEvidence::default() };
    if one_time && !forward::is_sound_key(shared.dialect.as_ref(), head) {
        let why = "the Idempotency-Key must be one of 1 to 200 printable characters, no colon";
        return Err(Unread::Rejected(Reject { status: 400, reason: why }));
    }
    let Some(_place) = Place::take(&shared.requests_at_work, REQUESTS_IN_FLIGHT) else {
        return Err(turned(about, RequestOutcome::Overloaded));
    };
    let client = shared.clients.of(connection.client());
    let taken = shared.requests_at_work.load(Relaxed);
    let (own, route) = (client.load(Relaxed), entry.compiled.limits.in_flight() as usize);
    if is_over_share(taken, own + 1, REQUESTS_IN_FLIGHT, CLIENT_SHARE_PERCENT)
        || is_over_share(taken, route + 1, REQUESTS_IN_FLIGHT, ROUTE_SHARE_PERCENT)
    {
        return Err(turned(about, RequestOutcome::Overloaded));
    }
    let _client = Counted::one(client);
    let _entered = match enter(&entry, table.nodes()) {
        Ok(entered) => entered,
        Err(LimitExceeded::Rate) => return Err(turned(about, RequestOutcome::OverRate)),
        Err(LimitExceeded::Concurrency) => {
            return Err(turned(about, RequestOutcome::OverConcurrency));
        }
    };
    let body_until_ms = body_until_ms(shared, head, arrived_ms);
    let body = match read_body(connection, shared, head, entry.route().body_bytes, body_until_ms) {
        Err(Unread::Rejected(reject)) if reject == body::TOO_LARGE => {
            return Err(turned(about, RequestOutcome::BodyTooLarge(entry.route().body_bytes)));
        }
        Err(Unread::Rejected(reject)) if reject == body::FULL => {
            return Err(turned(about, RequestOutcome::Overloaded));
        }
        other => other?,
    };
    let start_ms = if one_time || !body.bytes.is_empty() { clock_ms() } else { arrived_ms };
    let client = &connection.watch();
    let incoming = Incoming { entry, head, body: body.bytes, start_ms, arrived_ms, client };
    Ok(forward::forward(shared, incoming))
}

/// A client that says how long it waits needs no answer later, so its body is not waited for longer.
fn body_until_ms(shared: &Shared, head: &Head, arrived_ms: u64) -> u64 {
    let wait_ms = shared.dialect.client_timeout_ms(head).unwrap_or(BODY_WAIT_MS);
    arrived_ms + wait_ms.min(BODY_WAIT_MS)
}

fn read_body(
    connection: &mut Connection,
    shared: &Shared,
    head: &Head,
    most_bytes: u64,
    until_ms: u64,
) -> Result<body::Body, Unread> {
    if matches!(head.length, Length::Sized(size_bytes) if size_bytes > most_bytes) {
        return Err(Unread::Rejected(body::TOO_LARGE));
    }
    if head.expects_continue && connection.send_continue().is_err() {
        return Err(Unread::Rejected(body::CLIENT_DEPARTED));
    }
    body::read(connection, head.length, most_bytes, &shared.memory, until_ms)
        .map_err(Unread::Rejected)
}

fn skip_body(connection: &mut Connection, shared: &Shared, head: &Head) -> Result<(), Unread> {
    let until_ms = clock_ms() + BODY_WAIT_MS;
    read_body(connection, shared, head, HEAD_BYTES as u64, until_ms).map(|_| ())
}

struct Entered(Arc<Entry>);

fn enter(entry: &Arc<Entry>, nodes: u64) -> Result<Entered, LimitExceeded> {
    entry.compiled.limits.enter(clock_ms(), nodes)?;
    Ok(Entered(entry.clone()))
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.compiled.limits.leave();
    }
}
