//! One request on its way through this node: drives its flow on the client's own thread.

use crate::dialect::{Dialect, ResponseJudgement, on_to_target};
use crate::downstream::head::Head;
use crate::share::Shared;
use crate::target_connection::{EndsWithClient, Outgoing, TargetConnection, Terms};
use postbarrow_constants::coordination::{SETTLEMENT_WAIT_MS, TICKET_KEY_BYTES};
use postbarrow_constants::traffic::PROOF_WAIT_MS;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::Reserved;
use postbarrow_messages::Request;
use postbarrow_node::*;
use postbarrow_routing::{Entry, Load};
use postbarrow_state::{Digest, Name, RouteKind, Target};
use postbarrow_transport::clock_ms;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// A request that was read whole and found its route.
pub struct Incoming<'a> {
    pub entry: Arc<Entry>,
    pub head: &'a Head,
    pub body: Vec<u8>,
    /// When the route's time begins.
    pub start_ms: u64,
    /// When its head was read.
    pub arrived_ms: u64,
    pub client: &'a ClientWatch<'a>,
}

/// How a request ended here.
pub enum Forwarded {
    /// Its client gets this, with the memory that the response takes.
    Answered(TargetResponse, Option<Reserved>),
    /// Nobody is there to hear.
    ClientLeft,
}

/// Takes a request to its end.
pub fn forward(shared: &Arc<Shared>, incoming: Incoming<'_>) -> Forwarded {
    let (context, entry) = describe(shared, &incoming);
    let mut work = Work::new(shared, &incoming, &entry);
    let mut flow = RequestFlow::new(context, entry);
    let mut event = Event::Start;
    loop {
        let table = shared.table.load_full();
        let now = FlowContext {
            now_ms: clock_ms(),
            table: &table,
            serves: shared.serves(),
            number: shared.number(),
            client_departed: incoming.client.is_known_departed(),
        };
        event = match flow.handle(&now, event) {
            Step::Connect { target, load, wait_ms } => work.connect(target, load, wait_ms),
            Step::RequestTicket { ticket, wait_ms } => {
                let request = Request::Ticket(ticket);
                Event::ControllerResponded(shared.request(request, wait_ms, incoming.client))
            }
            Step::Forward { wait_ms, until_ms } => {
                Event::AttemptEnded(work.pass(wait_ms, until_ms))
            }
            Step::SettleTicket { settlement, wait_ms } => Event::ControllerResponded(
                shared.request(settlement.into(), wait_ms, incoming.client),
            ),
            Step::Done { completion: verdict, settlement } => {
                if let Some(settlement) = settlement {
                    shared.tell(settlement.into(), SETTLEMENT_WAIT_MS);
                }
                return match verdict.outcome {
                    RequestOutcome::ClientDeparted => Forwarded::ClientLeft,
                    _ => {
                        Forwarded::Answered(shared.dialect.render_completion(verdict), work.memory)
                    }
                };
            }
        };
    }
}

/// What the flow of a request is to know of it, and its route with one service drawn.
fn describe(shared: &Shared, incoming: &Incoming<'_>) -> (RequestContext, Arc<Entry>) {
    let dialect = shared.dialect.as_ref();
    let seed = shared.own.incarnation ^ shared.number();
    let entry = incoming.entry.draw_service(seed);
    let until_ms = incoming.start_ms + entry.route().deadline_ms;
    let client_until_ms =
        dialect.client_timeout_ms(incoming.head).map(|wait_ms| incoming.arrived_ms + wait_ms);
    let logged = dialect.target_identification().is_none();
    let is_ticketed = logged && entry.route().kind == RouteKind::OneTime;
    let key = dialect.idempotency_key(incoming.head);
    let context = RequestContext {
        key: match key {
            Some(key) => Name::from(key),
            None if is_ticketed => shared.made_key(),
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

/// What a request has in hand on this node.
struct Work<'a> {
    shared: &'a Arc<Shared>,
    incoming: &'a Incoming<'a>,
    service: Name,
    repeatable: bool,
    connection: Option<TargetConnection>,
    target: Option<Arc<Target>>,
    entered: Option<Entered>,
    memory: Option<Reserved>,
}

impl<'a> Work<'a> {
    fn new(shared: &'a Arc<Shared>, incoming: &'a Incoming<'a>, entry: &Entry) -> Work<'a> {
        Work {
            shared,
            incoming,
            service: entry.route().service.clone(),
            repeatable: entry.route().kind != RouteKind::OneTime,
            connection: None,
            target: None,
            entered: None,
            memory: None,
        }
    }

    fn connect(&mut self, target: Arc<Target>, load: Arc<Load>, wait_ms: u64) -> Event {
        self.entered = Some(Entered::new(load.clone()));
        let opened = match self.shared.pools.load().take(&target) {
            Some(connection) => Ok(connection),
            None => self.open(&target, &load, wait_ms),
        };
        self.target = Some(target);
        match opened {
            Ok(connection) => {
                self.connection = Some(connection);
                Event::Connected
            }
            Err(why) => {
                self.entered = None;
                Event::ConnectFailed(why)
            }
        }
    }

    /// A new connection; its target proves who it is unless requests name their target.
    fn open(&self, target: &Target, load: &Load, wait_ms: u64) -> Result<TargetConnection, String> {
        let client = self.incoming.client;
        let until_ms = clock_ms() + wait_ms;
        let mut connection = TargetConnection::open(target.address, until_ms, client)?;
        if self.shared.dialect.target_identification().is_none() {
            let until_ms = until_ms.min(clock_ms() + PROOF_WAIT_MS);
            load.report(connection.prove(target, until_ms, client)?);
        }
        Ok(connection)
    }

    fn pass(&mut self, wait_ms: u64, until_ms: u64) -> AttemptOutcome {
        let (Some(connection), Some(target), Some(entered)) =
            (self.connection.take(), &self.target, self.entered.take())
        else {
            return AttemptOutcome::Unsent("no connection".into());
        };
        let Some(mut memory) = self.shared.responses.reserve(0) else {
            return AttemptOutcome::Unsent("no space".into());
        };
        let (head, dialect) = (self.incoming.head, self.shared.dialect.as_ref());
        let request = Outgoing {
            method: &head.method,
            path: &head.target,
            headers: &on_to_target(dialect, head, &target.instance, wait_ms),
            body: &self.incoming.body,
            until_ms: clock_ms() + wait_ms.max(1),
            repeatable: self.repeatable,
        };
        let terms = Terms {
            may_send: &|| self.may_send(&target.instance, until_ms),
            client: self.incoming.client,
            ends_with_client: self.ends_with_client(),
            judge: &|response, first| match dialect.target_identification() {
                Some(named) => named.judge_response(head, response, first),
                None => ResponseJudgement::Complete,
            },
        };
        let (passed, kept) = connection.pass(&request, &terms, &mut memory);
        let load = entered.leave();
        if let (AttemptOutcome::Complete(response), Some(named)) =
            (&passed, dialect.target_identification())
            && let Some(occupancy) = named.in_flight(response)
        {
            load.report_slots_used(clock_ms(), occupancy.saturating_sub(load.in_flight()));
        }
        self.memory = Some(memory);
        if let Some(connection) = kept {
            self.shared.pools.load().give(target, connection);
        }
        passed
    }

    fn ends_with_client(&self) -> EndsWithClient {
        let keyed = self.shared.dialect.idempotency_key(self.incoming.head).is_some();
        match (self.repeatable, keyed) {
            (true, _) => EndsWithClient::Always,
            (false, true) => EndsWithClient::Never,
            (false, false) => EndsWithClient::UntilSent,
        }
    }

    /// Looked at right before the first byte: the client still waits, and hold, target and ticket
    /// still stand.
    fn may_send(&self, instance: &Name, until_ms: u64) -> bool {
        !self.incoming.client.has_departed()
            && self.shared.table.load().allows(&self.service, instance)
            && clock_ms() < until_ms
            && self.shared.serves()
    }
}

/// Counted at its target from the choice on, so that two requests at once don't choose the same place.
struct Entered(Arc<Load>);

impl Entered {
    fn new(load: Arc<Load>) -> Entered {
        load.enter();
        Entered(load)
    }

    fn leave(self) -> Arc<Load> {
        self.0.clone()
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// What makes two requests under one key the same request.
fn digest(head: &Head, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [head.method.as_bytes(), head.target.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

pub fn is_sound_key(dialect: &dyn Dialect, head: &Head) -> bool {
    if dialect.idempotency_key(head).is_none() && dialect.target_identification().is_some() {
        return true;
    }
    let keys = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("idempotency-key"));
    keys.clone().count() <= 1
        && keys.clone().all(|(_, key)| {
            (1..=TICKET_KEY_BYTES).contains(&key.len())
                && key.bytes().all(|byte| byte.is_ascii_graphic())
        })
}
