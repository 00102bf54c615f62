//! Clients' requests to data nodes and their flow through them.

use crate::checker::ledger::ClientOutcome;
use crate::client::requests::{Awaits, RequestRun};
use crate::event::{Event, ProcessId};
use crate::node::data::Waits;
use crate::world::World;
use postbarrow_constants::coordination::SETTLEMENT_WAIT_MS;
use postbarrow_messages::Request;
use postbarrow_node::*;
use postbarrow_routing::{Entry, RouteMatch};
use postbarrow_state::Name;

use std::sync::Arc;

const BEHIND_US: u64 = 300_000;

/// After its deadline a request may still wait for the settlement of its ticket.
const SETTLED_US: u64 = 2_000_000;

fn answer_bound_us(deadline_ms: u64) -> u64 {
    deadline_ms * 1_000 + SETTLED_US
}

const SERVICES: [(&str, &str, &str); 3] = [
    ("GET", "/stock/7", "catalogue"),
    ("POST", "/transfers", "ledger"),
    ("PUT", "/photos/7", "photos"),
];

impl World {
    /// Sends one new request and schedules the next.
    pub fn next_request(&mut self) {
        if self.quiet && self.request_pause_us == 0 {
            return;
        }
        self.next_request += 1;
        let id = self.next_request;
        let (_, _, service) = SERVICES[self.random.below(3) as usize];
        let keyed = self.random.chance(500);
        self.client_sends(id, service, keyed, 0);
        if keyed && self.random.chance(50) {
            self.ledger.doubled(id);
            self.client_sends(id, service, keyed, 0);
        }
        let pause_us = self.random.below(2 * self.request_pause_us) + 1;
        self.after(pause_us, Event::NextRequest);
    }

    /// The platform routes clients to ready nodes; now and then its view is a little old.
    pub(super) fn client_sends(
        &mut self,
        id: u64,
        service: &'static str,
        keyed: bool,
        attempts: u32,
    ) {
        let any = self.random.chance(50);
        let behind = |at: usize| any && self.now_us < self.data[at].ready_us + BEHIND_US;
        let nodes: Vec<usize> =
            (0..self.data.len()).filter(|at| behind(*at) || self.is_ready(*at)).collect();
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
            connected: None,
            client_left: false,
            departure_observed: false,
            awaits: Awaits::Connection,
        };
        self.requests.insert(request, run);
        self.after(500, Event::Arrive { request, data, incarnation });
        self.schedule_departure(request);
    }

    /// Requests that a node's present incarnation accepted and did not answer in time.
    pub fn overdue(&self) -> Vec<u64> {
        let overdue = |run: &&RequestRun| {
            let same_incarnation = self.data[run.data].incarnation == run.incarnation;
            same_incarnation && run.flow.is_some() && run.answer_due_us < self.now_us
        };
        self.requests.values().filter(overdue).map(|run| run.id).collect()
    }

    /// A request reaches data node `data`, which starts its flow or answers at once.
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

    /// Ends a request that was not forwarded.
    fn reject_request(&mut self, request: u64, outcome: RequestOutcome) {
        let Some(run) = self.requests.get(&request) else { return };
        let (one_time, keyed) = (run.service != "catalogue", run.keyed);
        let evidence = ExecutionEvidence { one_time, keyed, ..ExecutionEvidence::default() };
        self.end_request(request, Completion { outcome, evidence, key: None });
    }

    /// Starts the flow of a request that has a route.
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

    /// Feeds an event to a request's flow and carries out the step that it returns.
    pub fn resume_request(&mut self, request: u64, data: usize, event: postbarrow_node::Event) {
        let now_ms = self.local_ms(ProcessId::Data(data));
        let serves = self.serves(data);
        self.data[data].number += 1;
        let number = self.data[data].number;
        let table = self.data[data].table.clone();
        let Some(run) = self.requests.get_mut(&request) else { return };
        let Some(flow) = &mut run.flow else { return };
        let client_left = run.departure_observed;
        let now =
            FlowContext { now_ms, table: &table, serves, number, client_departed: client_left };
        match flow.handle(&now, event) {
            Step::Connect { target, load, .. } => {
                run.target = Some((target.clone(), load));
                run.awaits = Awaits::Connection;
                self.connect(request, data, &target);
            }
            Step::RequestTicket { ticket, wait_ms } => {
                self.request_controller(request, data, Request::Ticket(ticket), wait_ms);
            }
            Step::SettleTicket { settlement, wait_ms } => {
                self.request_controller(request, data, settlement.into(), wait_ms);
            }
            Step::Forward { until_ms, .. } => {
                run.awaits = Awaits::Sending;
                let incarnation = self.data[data].incarnation;
                self.after(20, Event::Send { request, data, incarnation, until_ms });
            }
            Step::Done { completion, settlement } => {
                if let Some(settlement) = settlement {
                    let settle = settlement.into();
                    self.send_to_controller(data, settle, SETTLEMENT_WAIT_MS, Waits::Nobody);
                }
                self.end_request(request, completion);
            }
        }
    }

    /// Sends a request to the controller on behalf of a client's request, which waits for the
    /// response.
    fn request_controller(&mut self, request: u64, data: usize, question: Request, wait_ms: u64) {
        let key = self.next_request_key(data);
        if let Some(run) = self.requests.get_mut(&request) {
            run.awaits = Awaits::Controller { key };
        }
        self.send_keyed_request(data, key, question, wait_ms, Waits::Request(request));
    }

    fn end_request(&mut self, request: u64, completion: Completion) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        run.flow = None;
        if run.client_left {
            return;
        }
        let (id, keyed, attempts, service) = (run.id, run.keyed, run.attempts, run.service);
        let response = completion.into_response();
        let header = |name: &str| {
            let found = response.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.clone())
        };
        let outcome = match header(OUTCOME).as_deref() {
            Some("ran") if response.status == 200 => ClientOutcome::Ran,
            Some("not-run") => ClientOutcome::NotRun,
            Some("pending") => ClientOutcome::Pending,
            _ => ClientOutcome::Unknown,
        };
        if outcome == ClientOutcome::Ran && header("x-id") != Some(id.to_string()) {
            self.ledger.violate(format!("request {id} was given another's response"));
        }
        self.ledger.record_outcome(id, request, outcome);
        let again = matches!(outcome, ClientOutcome::Unknown | ClientOutcome::Pending);
        if keyed && again && attempts < 3 {
            self.client_sends(id, service, true, attempts + 1);
        }
    }

    /// The instance that a request was sent to, if any.
    pub fn target_of(&self, request: u64) -> Option<String> {
        self.requests.get(&request)?.target_name()
    }
}
