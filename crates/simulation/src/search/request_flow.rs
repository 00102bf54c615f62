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
pub enum Fed {
    Start,
    Connected,
    Unconnected,
    Granted,
    Settled,
    /// No word from the controller.
    Unheard,
    Passed(PassedAs),
}

/// A way in which a request was passed on, with whose response it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PassedAs {
    Whole(usize),
    Unsent,
    NotRun,
    Unknown { late: bool },
}

/// An event, to whom it went and what the node then knew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moment {
    pub client: usize,
    pub now_ms: u64,
    pub serves: bool,
    /// The node has seen that the client left.
    pub client_left: bool,
    pub fed: Fed,
}

/// What a request waits for now, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not yet come.
    Away,
    Connect(usize),
    AskTicket,
    Settle,
    Pass,
    /// The client got the response that was made for this request.
    Answered(usize),
    /// The client was told that its request did not run.
    PromisedNotRun,
    ToldUnknown,
    /// Nobody was there to be told.
    ClientLeft,
}

/// What became of a request's ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TicketEnd {
    /// None was asked for.
    None,
    /// Asked for, and its end not told.
    Open,
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
pub struct View {
    pub phases: [Phase; 2],
    pub tickets: [TicketEnd; 2],
    fingerprint: String,
}

/// Every view met so far, so that each event of a flow is worked out once.
pub struct Views {
    kinds: [Kind; 2],
    logged: bool,
    /// Each with events that lead to it.
    met: Vec<(View, Vec<Moment>)>,
    numbers: HashMap<View, usize>,
    after: HashMap<(usize, Moment), usize>,
}

impl Views {
    /// Begins with the view in which no request has come.
    pub fn new(kinds: [Kind; 2], logged: bool) -> Views {
        let first = replay(kinds, logged, &[]);
        let numbers = HashMap::from([(first.clone(), 0)]);
        Views { kinds, logged, met: vec![(first, Vec::new())], numbers, after: HashMap::new() }
    }

    /// What the requests wait for in this view.
    pub fn phases(&self, view: usize) -> [Phase; 2] {
        self.met[view].0.phases
    }

    /// What became of the requests' tickets in this view.
    pub fn tickets(&self, view: usize) -> [TicketEnd; 2] {
        self.met[view].0.tickets
    }

    /// The view after an event.
    pub fn after(&mut self, view: usize, moment: Moment) -> usize {
        if let Some(known) = self.after.get(&(view, moment)) {
            return *known;
        }
        let mut moments = self.met[view].1.clone();
        moments.push(moment);
        let found = replay(self.kinds, self.logged, &moments);
        let number = *self.numbers.entry(found.clone()).or_insert(self.met.len());
        if number == self.met.len() {
            self.met.push((found, moments));
        }
        self.after.insert((view, moment), number);
        number
    }
}

/// Feeds the events, in their order, to two new flows over one table.
fn replay(kinds: [Kind; 2], logged: bool, moments: &[Moment]) -> View {
    let table = table();
    let mut flows = [0, 1].map(|client| {
        let entry = entry(&table, kinds[client]);
        RequestFlow::new(context(client, logged), entry)
    });
    let mut phases = [Phase::Away, Phase::Away];
    let mut tickets = [TicketEnd::None, TicketEnd::None];
    for (number, moment) in moments.iter().enumerate() {
        let now = FlowContext {
            now_ms: moment.now_ms,
            table: &table,
            serves: moment.serves,
            number: number as u64,
            client_departed: moment.client_left,
        };
        let step = flows[moment.client].handle(&now, event(&moment.fed));
        let ticket = &mut tickets[moment.client];
        *ticket = ticket_after(*ticket, moment.fed, &step);
        phases[moment.client] = phase(step);
    }
    let loads: BTreeMap<&Name, String> =
        table.loads().iter().map(|(name, load)| (name, format!("{load:?}"))).collect();
    let budget = entry(&table, Kind::Lookup).retry_budget.clone();
    View { phases, tickets, fingerprint: format!("{flows:?} {loads:?} {budget:?}") }
}

/// A ticket is open from its question on; what was settled with the controller's word or told at the
/// end is its end.
fn ticket_after(ticket: TicketEnd, fed: Fed, step: &Step) -> TicketEnd {
    match step {
        Step::RequestTicket { .. } => TicketEnd::Open,
        Step::Done { settling: Some(settling), .. } => {
            TicketEnd::Settled(match settling.settlement {
                Settlement::Ran => Settled::Ran,
                Settlement::Unsent => Settled::Unsent,
                Settlement::Unknown => Settled::Unknown,
            })
        }
        _ if fed == Fed::Settled => TicketEnd::Settled(Settled::Unsent),
        _ => ticket,
    }
}

fn event(fed: &Fed) -> Event {
    match fed {
        Fed::Start => Event::Start,
        Fed::Connected => Event::Connected,
        Fed::Unconnected => Event::ConnectFailed("refused".into()),
        Fed::Granted => Event::ControllerResponded(Response::Granted),
        Fed::Settled => Event::ControllerResponded(Response::Settled),
        Fed::Unheard => Event::ControllerResponded(Response::TimedOut),
        Fed::Passed(passed) => Event::AttemptEnded(match passed {
            PassedAs::Whole(made_for) => {
                AttemptOutcome::Complete(super::request_wire::response(*made_for))
            }
            PassedAs::Unsent => AttemptOutcome::Unsent("unsent".into()),
            PassedAs::NotRun => AttemptOutcome::NotRun("it says so".into()),
            PassedAs::Unknown { late } => {
                AttemptOutcome::Unknown { late: *late, reason: "lost".into() }
            }
        }),
    }
}

/// What a response is worth to the model.
pub fn as_fed(passed: &AttemptOutcome) -> Fed {
    Fed::Passed(match passed {
        AttemptOutcome::Complete(response) => {
            let made_for = std::str::from_utf8(&response.body).unwrap_or_default();
            PassedAs::Whole(made_for.parse().unwrap_or(usize::MAX))
        }
        AttemptOutcome::Unsent(_) => PassedAs::Unsent,
        AttemptOutcome::NotRun(_) => PassedAs::NotRun,
        AttemptOutcome::Unknown { late, .. } => PassedAs::Unknown { late: *late },
    })
}

fn phase(step: Step) -> Phase {
    match step {
        Step::Connect { target, .. } => {
            Phase::Connect(usize::from(target.instance == target_name(1)))
        }
        Step::RequestTicket { .. } => Phase::AskTicket,
        Step::Forward { .. } => Phase::Pass,
        Step::SettleTicket { .. } => Phase::Settle,
        Step::Done { completion: verdict, .. } => match verdict.outcome {
            RequestOutcome::Complete(response) => {
                let made_for = std::str::from_utf8(&response.body).unwrap_or_default();
                Phase::Answered(made_for.parse().unwrap_or(usize::MAX))
            }
            RequestOutcome::TargetFailed(_)
            | RequestOutcome::TargetTimedOut(_)
            | RequestOutcome::TicketUnknown => Phase::ToldUnknown,
            RequestOutcome::ClientDeparted => Phase::ClientLeft,
            _ if verdict.evidence.may_have_run => Phase::ToldUnknown,
            _ => Phase::PromisedNotRun,
        },
    }
}
