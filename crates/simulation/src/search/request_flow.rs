//! The real flows of two requests, driven anew from their events.

use super::request_plan::{context, entry, table, target_name};
use super::request_wire::Kind;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Event, FlowContext, RequestFlow, RequestOutcome, Step};
use postbarrow_state::{Name, Settlement};
use std::collections::{BTreeMap, HashMap};

/// When both requests come.
pub const START_MS: u64 = 10_000;
/// Each must end in this time.
pub const DEADLINE_MS: u64 = 4_000;

/// One event of one request, as its flow is told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowEvent {
    Start,
    Connected,
    ConnectFailed,
    Granted,
    Settled,
    /// No word from the controller.
    NoResponse,
    AttemptEnded(AttemptEnd),
}

/// A way in which a request was passed on, with whose response it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    Complete(usize),
    Unsent,
    NotRun,
    Unknown { late: bool },
}

/// An event, to whom it went and what the node then knew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowInput {
    pub client: usize,
    pub now_ms: u64,
    pub serves: bool,
    /// The node has seen that the client left.
    pub client_left: bool,
    pub event: FlowEvent,
}

/// What a request waits for now, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not yet come.
    NotArrived,
    Connect(usize),
    RequestTicket,
    Settle,
    Forward,
    /// The client got the response that was made for this request.
    Answered(usize),
    /// The client was told that its request did not run.
    ReportedNotRun,
    ReportedUnknown,
    /// Nobody was there to be told.
    ClientLeft,
}

/// What became of a request's ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TicketEnd {
    /// None was asked for.
    None,
    /// Asked for, and its end not told.
    Pending,
    Settled(Settled),
}

/// How a ticket was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Settled {
    Ran,
    Unsent,
    Unknown,
}

/// Where both flows stand: their phases, and all that decides their next steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FlowState {
    pub phases: [Phase; 2],
    pub tickets: [TicketEnd; 2],
    fingerprint: String,
}

/// Every view met so far, so that each event of a flow is worked out once.
pub struct FlowStates {
    kinds: [Kind; 2],
    logged: bool,
    /// Each with events that lead to it.
    known: Vec<(FlowState, Vec<FlowInput>)>,
    numbers: HashMap<FlowState, usize>,
    after: HashMap<(usize, FlowInput), usize>,
}

impl FlowStates {
    /// Begins with the view in which no request has come.
    pub fn new(kinds: [Kind; 2], logged: bool) -> FlowStates {
        let first = replay(kinds, logged, &[]);
        let numbers = HashMap::from([(first.clone(), 0)]);
        FlowStates {
            kinds,
            logged,
            known: vec![(first, Vec::new())],
            numbers,
            after: HashMap::new(),
        }
    }

    /// What the requests wait for in this view.
    pub fn phases(&self, flow_state: usize) -> [Phase; 2] {
        self.known[flow_state].0.phases
    }

    /// What became of the requests' tickets in this view.
    pub fn tickets(&self, flow_state: usize) -> [TicketEnd; 2] {
        self.known[flow_state].0.tickets
    }

    /// The view after an event.
    pub fn after(&mut self, flow_state: usize, input: FlowInput) -> usize {
        if let Some(known) = self.after.get(&(flow_state, input)) {
            return *known;
        }
        let mut inputs = self.known[flow_state].1.clone();
        inputs.push(input);
        let found = replay(self.kinds, self.logged, &inputs);
        let number = *self.numbers.entry(found.clone()).or_insert(self.known.len());
        if number == self.known.len() {
            self.known.push((found, inputs));
        }
        self.after.insert((flow_state, input), number);
        number
    }
}

/// Feeds the events, in their order, to two new flows over one table.
fn replay(kinds: [Kind; 2], logged: bool, inputs: &[FlowInput]) -> FlowState {
    let table = table();
    let mut flows = [0, 1].map(|client| {
        let entry = entry(&table, kinds[client]);
        RequestFlow::new(context(client, logged), entry)
    });
    let mut phases = [Phase::NotArrived, Phase::NotArrived];
    let mut tickets = [TicketEnd::None, TicketEnd::None];
    for (number, input) in inputs.iter().enumerate() {
        let now = FlowContext {
            now_ms: input.now_ms,
            table: &table,
            serves: input.serves,
            number: number as u64,
            client_departed: input.client_left,
        };
        let step = flows[input.client].handle(&now, event(&input.event));
        let ticket = &mut tickets[input.client];
        *ticket = ticket_after(*ticket, input.event, &step);
        phases[input.client] = phase(step);
    }
    let loads: BTreeMap<&Name, String> =
        table.loads().iter().map(|(name, load)| (name, format!("{load:?}"))).collect();
    let budget = entry(&table, Kind::Lookup).retry_budget.clone();
    FlowState { phases, tickets, fingerprint: format!("{flows:?} {loads:?} {budget:?}") }
}

/// A ticket is open from its question on; what was settled with the controller's word or told at the
/// end is its end.
fn ticket_after(ticket: TicketEnd, event: FlowEvent, step: &Step) -> TicketEnd {
    match step {
        Step::RequestTicket { .. } => TicketEnd::Pending,
        Step::Done { settlement: Some(settlement), .. } => {
            TicketEnd::Settled(match settlement.settlement {
                Settlement::Ran => Settled::Ran,
                Settlement::Unsent => Settled::Unsent,
                Settlement::Unknown => Settled::Unknown,
            })
        }
        _ if event == FlowEvent::Settled => TicketEnd::Settled(Settled::Unsent),
        _ => ticket,
    }
}

fn event(event: &FlowEvent) -> Event {
    match event {
        FlowEvent::Start => Event::Start,
        FlowEvent::Connected => Event::Connected,
        FlowEvent::ConnectFailed => Event::ConnectFailed("refused".into()),
        FlowEvent::Granted => Event::ControllerResponded(Response::Granted),
        FlowEvent::Settled => Event::ControllerResponded(Response::Settled),
        FlowEvent::NoResponse => Event::ControllerResponded(Response::TimedOut),
        FlowEvent::AttemptEnded(outcome) => Event::AttemptEnded(match outcome {
            AttemptEnd::Complete(for_client) => {
                AttemptOutcome::Complete(super::request_wire::response(*for_client))
            }
            AttemptEnd::Unsent => AttemptOutcome::Unsent("unsent".into()),
            AttemptEnd::NotRun => AttemptOutcome::NotRun("it says so".into()),
            AttemptEnd::Unknown { late } => {
                AttemptOutcome::Unknown { late: *late, reason: "lost".into() }
            }
        }),
    }
}

/// What a response is worth to the model.
pub fn as_flow_event(outcome: &AttemptOutcome) -> FlowEvent {
    FlowEvent::AttemptEnded(match outcome {
        AttemptOutcome::Complete(response) => {
            let for_client = std::str::from_utf8(&response.body).unwrap_or_default();
            AttemptEnd::Complete(for_client.parse().unwrap_or(usize::MAX))
        }
        AttemptOutcome::Unsent(_) => AttemptEnd::Unsent,
        AttemptOutcome::NotRun(_) => AttemptEnd::NotRun,
        AttemptOutcome::Unknown { late, .. } => AttemptEnd::Unknown { late: *late },
    })
}

fn phase(step: Step) -> Phase {
    match step {
        Step::Connect { target, .. } => {
            Phase::Connect(usize::from(target.instance == target_name(1)))
        }
        Step::RequestTicket { .. } => Phase::RequestTicket,
        Step::Forward { .. } => Phase::Forward,
        Step::SettleTicket { .. } => Phase::Settle,
        Step::Done { completion, .. } => match completion.outcome {
            RequestOutcome::Complete(response) => {
                let for_client = std::str::from_utf8(&response.body).unwrap_or_default();
                Phase::Answered(for_client.parse().unwrap_or(usize::MAX))
            }
            RequestOutcome::TargetFailed(_)
            | RequestOutcome::TargetTimedOut(_)
            | RequestOutcome::TicketUnknown => Phase::ReportedUnknown,
            RequestOutcome::ClientDeparted => Phase::ClientLeft,
            _ if completion.evidence.may_have_run => Phase::ReportedUnknown,
            _ => Phase::ReportedNotRun,
        },
    }
}
