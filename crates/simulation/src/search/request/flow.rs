//! The real flows of two requests, replayed from their events.

use crate::search::request::plan::{context, entry, table, target_name};
use crate::search::request::wire::Kind;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Event, FlowContext, RequestFlow, RequestOutcome, Step};
use postbarrow_state::{Name, Settlement};
use std::collections::{BTreeMap, HashMap};

/// One event of one request, as its flow receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowEvent {
    /// It starts.
    Start,
    /// A connection is made.
    Connected,
    /// A connection is not made.
    ConnectFailed,
    /// Its ticket is granted.
    Granted,
    /// Its ticket's settlement is recorded.
    Settled,
    /// No response from the controller.
    NoResponse,
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
}

/// How an attempt ended, with the client whose response it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// With the complete response to this client's request.
    Complete(usize),
    /// Before the first byte was sent.
    Unsent,
    /// With the target's statement that it did not run.
    NotRun,
    /// Without a response; `late`: since the deadline passed.
    Unknown { late: bool },
}

/// An event, the request that it is for and what the node knew then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowInput {
    /// The client whose request it is for.
    pub client: usize,
    /// The node's clock.
    pub now_ms: u64,
    /// Whether the node has its lease.
    pub serves: bool,
    /// The node has observed that the client departed.
    pub client_left: bool,
    /// The event.
    pub event: FlowEvent,
}

/// What a request waits for now, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not yet arrived.
    NotArrived,
    /// For a connection to this target.
    Connect(usize),
    /// For a ticket.
    RequestTicket,
    /// For the settlement of its ticket.
    Settle,
    /// For the end of an attempt.
    Forward,
    /// The client received the response to the request of this client.
    Answered(usize),
    /// The client received the report that its request did not run.
    ReportedNotRun,
    /// The client received the report that it is unknown whether its request ran.
    ReportedUnknown,
    /// The client had departed.
    ClientLeft,
}

/// What became of a request's ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TicketEnd {
    /// None was requested.
    None,
    /// Requested and not settled.
    Pending,
    /// Settled.
    Settled(Settled),
}

/// How a ticket was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Settled {
    /// As run.
    Ran,
    /// As unsent.
    Unsent,
    /// As unknown.
    Unknown,
}

/// The state of both flows: their phases, and all that decides their next steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FlowState {
    /// The requests' phases.
    pub phases: [Phase; 2],
    /// The requests' tickets.
    pub tickets: [TicketEnd; 2],
    fingerprint: String,
}

/// Every state reached so far, so that each transition is computed once.
pub struct FlowStates {
    kinds: [Kind; 2],
    logged: bool,
    /// Each with inputs that lead to it.
    known: Vec<(FlowState, Vec<FlowInput>)>,
    numbers: HashMap<FlowState, usize>,
    after: HashMap<(usize, FlowInput), usize>,
}

impl FlowStates {
    /// Starts with the state in which no request has arrived.
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

    /// What the requests wait for in this state.
    pub fn phases(&self, flow_state: usize) -> [Phase; 2] {
        self.known[flow_state].0.phases
    }

    /// What became of the requests' tickets in this state.
    pub fn tickets(&self, flow_state: usize) -> [TicketEnd; 2] {
        self.known[flow_state].0.tickets
    }

    /// The state after an input.
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

/// Feeds the inputs, in their order, to two new flows over one table.
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

/// A ticket is pending from its request on, until it is settled by the controller's response or at
/// the end of the flow.
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
                AttemptOutcome::Complete(crate::search::request::wire::response(*for_client))
            }
            AttemptEnd::Unsent => AttemptOutcome::Unsent("unsent".into()),
            AttemptEnd::NotRun => AttemptOutcome::NotRun("it says so".into()),
            AttemptEnd::Unknown { late } => {
                AttemptOutcome::Unknown { late: *late, reason: "lost".into() }
            }
        }),
    }
}

/// The attempt's end as the model records it.
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
