//! The real `RequestFlow`s of two requests, of which each state is reached by replaying its events
//! on new flows.

use crate::search::request::plan::{model_table, request_context, route_entry, target_name};
use crate::search::request::wire::Kind;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Event, FlowContext, RequestFlow, RequestOutcome, Step};
use postbarrow_state::{Name, Settlement};
use std::collections::{BTreeMap, HashMap};

/// One event of a request, as its flow receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowEvent {
    /// The request has arrived.
    Start,
    /// A connection to the selected target is available.
    Connected,
    /// Connecting to the selected target failed.
    ConnectFailed,
    /// The controller granted the request's ticket.
    Granted,
    /// The controller recorded the settlement of the request's ticket.
    Settled,
    /// The controller sent no response in time.
    NoResponse,
    /// An attempt at a target ended.
    AttemptEnded(AttemptEnd),
}

/// The outcome of an attempt, as the model distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The attempt received the complete response to the request of this client.
    Complete(usize),
    /// The attempt ended before the first byte was sent.
    Unsent,
    /// The target stated that it did not run the request.
    NotRun,
    /// The attempt ended without a valid response; `late` is set if the deadline passed.
    Unknown { late: bool },
}

/// An event, the request that receives it, and what the node knew at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowInput {
    /// The client whose request receives the event.
    pub client: usize,
    /// The time of the node's clock, in milliseconds.
    pub now_ms: u64,
    /// Whether the node has its lease.
    pub has_lease: bool,
    /// Whether the node has observed that the client departed.
    pub client_departed: bool,
    /// The event that the flow receives.
    pub event: FlowEvent,
}

/// The progress of a request: what it waits for, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The request has not arrived yet.
    NotArrived,
    /// The request waits for a connection to this target.
    Connect(usize),
    /// The request waits for a ticket.
    RequestTicket,
    /// The request waits for the settlement of its ticket.
    Settle,
    /// The request waits for the end of an attempt at a target.
    Forward,
    /// The request's client received the response to the request of the client with this index.
    Answered(usize),
    /// The client received the report that its request did not run.
    ReportedNotRun,
    /// The client received the report that it is unknown whether its request ran.
    ReportedUnknown,
    /// The request ended because its client had departed.
    ClientDeparted,
}

/// The status of a request's ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TicketStatus {
    /// No ticket was requested.
    NotRequested,
    /// The ticket was requested and is not settled.
    Pending,
    /// The ticket was settled in this way.
    Settled(Settled),
}

/// The way in which a ticket was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Settled {
    /// The request was recorded as run.
    Ran,
    /// The request was recorded as not sent to its target.
    Unsent,
    /// The request was recorded as unknown whether it ran.
    Unknown,
}

/// The state of both flows: their phases and tickets, and everything that decides their next steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FlowState {
    /// The phase of each request, by client.
    pub phases: [Phase; 2],
    /// The ticket status of each request, by client.
    pub tickets: [TicketStatus; 2],
    /// The printed form of the flows, the targets' loads and the retry budget.
    fingerprint: String,
}

/// All states of the two flows reached so far, and the transitions between them, so that the flows
/// are replayed only once for each transition. A state is identified by its index.
pub struct FlowStates {
    kinds: [Kind; 2],
    uses_ticket_log: bool,
    /// Each state with a sequence of inputs that leads to it.
    states: Vec<(FlowState, Vec<FlowInput>)>,
    /// The index of each state in `states`.
    indexes: HashMap<FlowState, usize>,
    /// The index of the state that an input leads to, by the index of the state before it and the
    /// input.
    transitions: HashMap<(usize, FlowInput), usize>,
}

impl FlowStates {
    /// Creates the set with index 0 only, the state in which no request has arrived.
    pub fn new(kinds: [Kind; 2], uses_ticket_log: bool) -> FlowStates {
        let first = replay(kinds, uses_ticket_log, &[]);
        let indexes = HashMap::from([(first.clone(), 0)]);
        FlowStates {
            kinds,
            uses_ticket_log,
            states: vec![(first, Vec::new())],
            indexes,
            transitions: HashMap::new(),
        }
    }

    /// Returns the phases of both requests in a state.
    pub fn phases(&self, flow_state_index: usize) -> [Phase; 2] {
        self.states[flow_state_index].0.phases
    }

    /// Returns the status of both requests' tickets in a state.
    pub fn tickets(&self, flow_state_index: usize) -> [TicketStatus; 2] {
        self.states[flow_state_index].0.tickets
    }

    /// Returns the index of the state that an input leads to from a state.
    pub fn state_after(&mut self, flow_state_index: usize, input: FlowInput) -> usize {
        if let Some(index) = self.transitions.get(&(flow_state_index, input)) {
            return *index;
        }
        let mut inputs = self.states[flow_state_index].1.clone();
        inputs.push(input);
        let reached = replay(self.kinds, self.uses_ticket_log, &inputs);
        let index = *self.indexes.entry(reached.clone()).or_insert(self.states.len());
        if index == self.states.len() {
            self.states.push((reached, inputs));
        }
        self.transitions.insert((flow_state_index, input), index);
        index
    }
}

/// Applies the inputs, in their order, to two new flows over one routing table; returns the state
/// that they lead to.
fn replay(kinds: [Kind; 2], uses_ticket_log: bool, inputs: &[FlowInput]) -> FlowState {
    let table = model_table();
    let mut flows = [0, 1].map(|client| {
        let entry = route_entry(&table, kinds[client]);
        RequestFlow::new(request_context(client, uses_ticket_log), entry)
    });
    let mut phases = [Phase::NotArrived, Phase::NotArrived];
    let mut tickets = [TicketStatus::NotRequested, TicketStatus::NotRequested];
    for (number, input) in inputs.iter().enumerate() {
        let context = FlowContext {
            now_ms: input.now_ms,
            table: &table,
            has_lease: input.has_lease,
            ticket_number: number as u64,
            client_departed: input.client_departed,
        };
        let step = flows[input.client].handle(&context, node_event(&input.event));
        let ticket = &mut tickets[input.client];
        *ticket = ticket_after(*ticket, input.event, &step);
        phases[input.client] = phase_after(step);
    }
    let loads: BTreeMap<&Name, String> =
        table.loads().iter().map(|(name, load)| (name, format!("{load:?}"))).collect();
    let retry_budget = route_entry(&table, Kind::Lookup).retry_budget.clone();
    FlowState { phases, tickets, fingerprint: format!("{flows:?} {loads:?} {retry_budget:?}") }
}

/// Returns the status of a ticket after a step of its flow. A ticket is pending from the time at
/// which it is requested until the controller's response or the end of the flow settles it.
fn ticket_after(ticket: TicketStatus, event: FlowEvent, step: &Step) -> TicketStatus {
    match step {
        Step::RequestTicket { .. } => TicketStatus::Pending,
        Step::Done { settlement: Some(settlement), .. } => {
            TicketStatus::Settled(match settlement.settlement {
                Settlement::Ran => Settled::Ran,
                Settlement::Unsent => Settled::Unsent,
                Settlement::Unknown => Settled::Unknown,
            })
        }
        _ if event == FlowEvent::Settled => TicketStatus::Settled(Settled::Unsent),
        _ => ticket,
    }
}

/// Returns the event that a flow receives for the model's event.
fn node_event(event: &FlowEvent) -> Event {
    match event {
        FlowEvent::Start => Event::Start,
        FlowEvent::Connected => Event::Connected,
        FlowEvent::ConnectFailed => Event::ConnectFailed("connection refused".into()),
        FlowEvent::Granted => Event::ControllerResponded(Response::Granted),
        FlowEvent::Settled => Event::ControllerResponded(Response::Settled),
        FlowEvent::NoResponse => Event::ControllerResponded(Response::TimedOut),
        FlowEvent::AttemptEnded(outcome) => Event::AttemptEnded(match outcome {
            AttemptEnd::Complete(for_client) => {
                AttemptOutcome::Complete(crate::search::request::wire::response(*for_client))
            }
            AttemptEnd::Unsent => AttemptOutcome::Unsent("request not sent".into()),
            AttemptEnd::NotRun => AttemptOutcome::NotRun(
                "the target responded that it did not run the request".into(),
            ),
            AttemptEnd::Unknown { late } => {
                AttemptOutcome::Unknown { timed_out: *late, reason: "connection lost".into() }
            }
        }),
    }
}

/// Returns the model's event for the end of an attempt with this outcome.
pub fn as_flow_event(outcome: &AttemptOutcome) -> FlowEvent {
    FlowEvent::AttemptEnded(match outcome {
        AttemptOutcome::Complete(response) => {
            let for_client = std::str::from_utf8(&response.body).unwrap_or_default();
            AttemptEnd::Complete(for_client.parse().unwrap_or(usize::MAX))
        }
        AttemptOutcome::Unsent(_) => AttemptEnd::Unsent,
        AttemptOutcome::NotRun(_) => AttemptEnd::NotRun,
        AttemptOutcome::Unknown { timed_out, .. } => AttemptEnd::Unknown { late: *timed_out },
    })
}

/// Returns the phase of a request whose flow returned this step.
fn phase_after(step: Step) -> Phase {
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
            RequestOutcome::ClientDeparted => Phase::ClientDeparted,
            _ if completion.evidence.may_have_run => Phase::ReportedUnknown,
            _ => Phase::ReportedNotRun,
        },
    }
}
