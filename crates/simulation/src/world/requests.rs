//! Clients' requests to data nodes and their flow through the nodes.

use crate::checker::ledger::ClientOutcome;
use crate::client::requests::{AwaitedEvent, RequestRun};
use crate::event::{Event, ProcessId};
use crate::node::data::ResponseRecipient;
use crate::world::World;
use postbarrow_constants::coordination::SETTLEMENT_WAIT_MS;
use postbarrow_messages::Request;
use postbarrow_node::*;
use postbarrow_routing::{Entry, RouteMatch};
use postbarrow_state::Name;

use std::sync::Arc;

/// Time for which the platform may still route a client to a node that is no longer ready, in
/// microseconds.
const VIEW_LAG_US: u64 = 300_000;

/// Time after its deadline for which a request may still wait for the settlement of its ticket, in
/// microseconds.
const SETTLEMENT_MARGIN_US: u64 = 2_000_000;

/// Returns the time within which a node must answer a request with this deadline, in microseconds.
fn answer_bound_us(deadline_ms: u64) -> u64 {
    deadline_ms * 1_000 + SETTLEMENT_MARGIN_US
}

/// Method, path and service of each kind of request; `catalogue` takes lookups, the others take
/// one-time requests.
const SERVICES: [(&str, &str, &str); 3] = [
    ("GET", "/stock/7", "catalogue"),
    ("POST", "/transfers", "ledger"),
    ("PUT", "/photos/7", "photos"),
];

impl World {
    /// Sends a new request, sometimes twice at once under one key, and schedules the next one.
    pub fn send_next_request(&mut self) {
        if self.plans_paused && self.request_pause_us == 0 {
            return;
        }
        self.last_request_id += 1;
        let id = self.last_request_id;
        let (_, _, service) = SERVICES[self.random.below(3) as usize];
        let keyed = self.random.chance(500);
        self.send_attempt(id, service, keyed, 0);
        if keyed && self.random.chance(50) {
            self.ledger.record_duplicate(id);
            self.send_attempt(id, service, keyed, 0);
        }
        let pause_us = self.random.below(2 * self.request_pause_us) + 1;
        self.schedule(pause_us, Event::NextRequest);
    }

    /// Sends an attempt of a client's request to a random node that is ready or, in one of twenty
    /// attempts, was ready until recently, as the platform's view may lag.
    pub(super) fn send_attempt(
        &mut self,
        id: u64,
        service: &'static str,
        keyed: bool,
        attempts: u32,
    ) {
        let outdated = self.random.chance(50);
        let was_ready = |at: usize| outdated && self.now_us < self.data[at].ready_us + VIEW_LAG_US;
        let nodes: Vec<usize> =
            (0..self.data.len()).filter(|at| was_ready(*at) || self.is_ready(*at)).collect();
        self.ledger.record_request(id, service != "catalogue");
        let request = self.requests.len() as u64;
        if nodes.is_empty() {
            return self.ledger.record_outcome(id, request, ClientOutcome::Unreached);
        }
        let data = nodes[self.random.below(nodes.len() as u64) as usize];
        let incarnation = self.data[data].incarnation;
        let run = RequestRun {
            id,
            keyed,
            attempts,
            service,
            data,
            incarnation,
            answer_due_us: u64::MAX,
            flow: None,
            target: None,
            connected_instance: None,
            client_departed: false,
            departure_observed: false,
            awaited_event: AwaitedEvent::Connection,
        };
        self.requests.insert(request, run);
        self.schedule(500, Event::Arrive { request, data, incarnation });
        self.schedule_departure(request);
    }

    /// Returns the ids of requests that were accepted by a node's present incarnation and not
    /// answered in time.
    pub fn overdue(&self) -> Vec<u64> {
        let overdue = |run: &&RequestRun| {
            let same_incarnation = self.data[run.data].incarnation == run.incarnation;
            same_incarnation && run.flow.is_some() && run.answer_due_us < self.now_us
        };
        self.requests.values().filter(overdue).map(|run| run.id).collect()
    }

    /// Handles an attempt that arrives at data node `data`, which starts a flow for it or rejects
    /// it. If the incarnation that it was sent to has ended, the client reaches no node.
    pub fn request_arrives(&mut self, request: u64, data: usize, incarnation: u64) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, service) = (run.id, run.service);
        if self.data[data].incarnation != incarnation {
            return self.ledger.record_outcome(id, request, ClientOutcome::Unreached);
        }
        if !self.serves(data) {
            return self.reject_request(request, RequestOutcome::Unready);
        }
        let table = self.data[data].table.clone();
        let (method, path, _) =
            *SERVICES.iter().find(|row| row.2 == service).unwrap_or(&SERVICES[0]);
        match table.find(method, path, &[]) {
            RouteMatch::Route(entry) => self.start_flow(request, data, entry),
            _ => self.reject_request(request, RequestOutcome::NoRoute),
        }
    }

    /// Answers an attempt that has not been forwarded.
    fn reject_request(&mut self, request: u64, outcome: RequestOutcome) {
        let Some(run) = self.requests.get(&request) else { return };
        let (one_time, keyed) = (run.service != "catalogue", run.keyed);
        let evidence = ExecutionEvidence { one_time, keyed, ..ExecutionEvidence::default() };
        self.complete_request(request, Completion { outcome, evidence, key: None });
    }

    /// Starts the flow of an attempt that matches a route.
    fn start_flow(&mut self, request: u64, data: usize, entry: Arc<Entry>) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, keyed) = (run.id, run.keyed);
        let until_ms = self.local_ms(ProcessId::Data(data)) + entry.route().deadline_ms;
        let seed = self.random.draw();
        let machine = &mut self.data[data];
        machine.number += 1;
        let key = match keyed {
            true => format!("key-{id}"),
            false => format!("{}:{}", machine.announced_incarnation, machine.number),
        };
        let context = RequestContext {
            key: Name::from(key),
            keyed,
            digest: [id as u8; 32],
            node: machine.announced_incarnation,
            zone: machine.zone.clone(),
            uses_ticket_log: true,
            deadline_ms: until_ms,
            seed,
        };
        if let Some(run) = self.requests.get_mut(&request) {
            run.answer_due_us = self.now_us + answer_bound_us(entry.route().deadline_ms);
            run.flow = Some(RequestFlow::new(context, entry));
        }
        self.resume_request(request, data, postbarrow_node::Event::Start);
    }

    /// Passes an event to the flow of an attempt and carries out the step that it returns.
    pub fn resume_request(&mut self, request: u64, data: usize, event: postbarrow_node::Event) {
        let now_ms = self.local_ms(ProcessId::Data(data));
        let has_lease = self.serves(data);
        self.data[data].number += 1;
        let ticket_number = self.data[data].number;
        let table = self.data[data].table.clone();
        let Some(run) = self.requests.get_mut(&request) else { return };
        let Some(flow) = &mut run.flow else { return };
        let departure_observed = run.departure_observed;
        let now = FlowContext {
            now_ms,
            table: &table,
            has_lease,
            ticket_number,
            client_departed: departure_observed,
        };
        match flow.handle(&now, event) {
            Step::Connect { target, load, .. } => {
                run.target = Some((target.clone(), load));
                run.awaited_event = AwaitedEvent::Connection;
                self.connect(request, data, &target);
            }
            Step::RequestTicket { ticket, wait_ms } => {
                self.request_controller(request, data, Request::Ticket(ticket), wait_ms);
            }
            Step::SettleTicket { settlement, wait_ms } => {
                self.request_controller(request, data, settlement.into(), wait_ms);
            }
            Step::Forward { until_ms, .. } => {
                run.awaited_event = AwaitedEvent::Sending;
                let incarnation = self.data[data].incarnation;
                self.schedule(20, Event::Send { request, data, incarnation, until_ms });
            }
            Step::Done { completion, settlement } => {
                if let Some(settlement) = settlement {
                    let settle = settlement.into();
                    self.send_to_controller(
                        data,
                        settle,
                        SETTLEMENT_WAIT_MS,
                        ResponseRecipient::None,
                    );
                }
                self.complete_request(request, completion);
            }
        }
    }

    /// Sends a request to the controller on behalf of a client's attempt, which waits for the
    /// response.
    fn request_controller(
        &mut self,
        request: u64,
        data: usize,
        controller_request: Request,
        wait_ms: u64,
    ) {
        let key = self.next_request_key(data);
        if let Some(run) = self.requests.get_mut(&request) {
            run.awaited_event = AwaitedEvent::Controller { key };
        }
        self.send_keyed_request(
            data,
            key,
            controller_request,
            wait_ms,
            ResponseRecipient::Request(request),
        );
    }

    /// Ends the flow of an attempt and passes the response to the client if that has not departed;
    /// the client may send a request with an idempotency key again.
    fn complete_request(&mut self, request: u64, completion: Completion) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        run.flow = None;
        if run.client_departed {
            return;
        }
        let (id, keyed, attempts, service) = (run.id, run.keyed, run.attempts, run.service);
        let response = completion.into_response();
        let header = |name: &str| {
            let found = response.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.clone())
        };
        let outcome = match header(OUTCOME_HEADER).as_deref() {
            Some("ran") if response.status == 200 => ClientOutcome::Ran,
            Some("not-run") => ClientOutcome::NotRun,
            Some("pending") => ClientOutcome::Pending,
            _ => ClientOutcome::Unknown,
        };
        if outcome == ClientOutcome::Ran && header("x-id") != Some(id.to_string()) {
            self.ledger.report(format!("request {id} was given another's response"));
        }
        self.ledger.record_outcome(id, request, outcome);
        let retries = matches!(outcome, ClientOutcome::Unknown | ClientOutcome::Pending);
        if keyed && retries && attempts < 3 {
            self.send_attempt(id, service, true, attempts + 1);
        }
    }

    /// Returns the instance of the target that the flow of an attempt selected last, if any.
    pub fn target_of(&self, request: u64) -> Option<String> {
        self.requests.get(&request)?.target_name()
    }
}
