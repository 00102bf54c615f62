//! Model of calls forwarded to the controller: real clients at two members, over a modelled log.

mod log;
mod rules;
mod state;

pub use state::{ForwardedState, NUMBER};

use crate::search::forwarded::log::{Entry, Member, Origin, Write, not_controller};
use crate::search::forwarded::state::{Frame, Progress, address, new_client};
use crate::search::{Model, Violation};
use postbarrow_constants::coordination::{CONTROLLER_REQUEST_MS, REQUEST_RETRY_MS};
use postbarrow_controller_client::Effect;
use postbarrow_messages::{Message, Request};
use postbarrow_state::{Call, Name, Record};
use postbarrow_transport::RequestKeys;

/// One caller's call, at the client of one member.
#[derive(Clone, Debug)]
pub struct ForwardedCall {
    /// The member whose client sends it.
    pub client: usize,
    /// The key seed of that member's incarnation.
    pub incarnation: u64,
    /// The call's idempotency id.
    pub id: Option<Name>,
    /// The call itself.
    pub call: Call,
}

/// The model: the calls, and the faults that may occur.
#[derive(Clone, Debug, Default)]
pub struct ForwardedCalls {
    /// The calls, each sent once.
    pub calls: Vec<ForwardedCall>,
    /// Committed before any call.
    pub before: Vec<Record>,
    /// What another caller, or time, appends once, at any time.
    pub meanwhile: Vec<Record>,
    /// The log has no space at first, and later it has.
    pub full: bool,
    /// Frames that may be lost.
    pub losses: u8,
    /// How often clients check whether to send again.
    pub ticks: u8,
    /// The second member may become leader.
    pub elects: bool,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardedAction {
    /// This call is sent by its client.
    Sends(usize),
    /// This frame in flight arrives.
    Arrives(usize),
    /// This frame in flight is lost.
    IsLost(usize),
    /// Clients' retry interval passes.
    Ticks,
    /// Every pending call times out.
    TimesOut,
    /// The leader commits all of its log.
    Commits,
    /// The second member becomes leader, with or without what the first has not committed.
    Elects {
        /// Whether the second member has the first's uncommitted entries.
        with_all: bool,
    },
    /// The first member learns of the new leader.
    Deposes,
    /// The other caller's records are appended to the leader's log.
    Meanwhile,
    /// The log has space again.
    SpaceReturns,
    /// The first member's process ends, and another starts at its address.
    Restarts,
}

impl ForwardedCalls {
    /// The key that the programs would draw, from the `RequestKeys` of this incarnation.
    fn key(&self, source: usize) -> u64 {
        RequestKeys::new(self.calls[source].incarnation).next()
    }

    fn question_of(&self, state: &ForwardedState, client: usize, key: u64) -> Option<usize> {
        (0..self.calls.len()).find(|at| {
            let source = &self.calls[*at];
            let open = matches!(state.progress[*at], Progress::Pending { .. });
            source.client == client && open && self.key(*at) == key
        })
    }

    fn apply_effects(&self, state: &mut ForwardedState, client: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message: Message::Request { key, request } } => {
                    let to = usize::from(to == address(1));
                    state.in_flight.push(Frame::ToMember {
                        to,
                        origin: Origin { client, key },
                        request,
                    });
                }
                Effect::Answer { key, response } => {
                    if let Some(at) = self.question_of(state, client, key)
                        && let Progress::Pending { number } = state.progress[at]
                    {
                        state.progress[at] = Progress::Answered { number, response };
                    }
                }
                Effect::Send { .. } => {}
            }
        }
    }

    fn requests(&self, state: &mut ForwardedState, at: usize) {
        let ForwardedCall { client, id, call, .. } = self.calls[at].clone();
        state.progress[at] = Progress::Pending { number: state.number() };
        let request = Request::Call { id, call };
        let effects = state.clients[client].send_request(
            state.now_ms,
            self.key(at),
            request,
            CONTROLLER_REQUEST_MS,
        );
        self.apply_effects(state, client, effects);
    }

    fn ticks(&self, state: &mut ForwardedState) {
        for client in 0..state.clients.len() {
            let effects = state.clients[client].tick(state.now_ms);
            self.apply_effects(state, client, effects);
        }
    }

    fn arrives(&self, state: &mut ForwardedState, at: usize) {
        match state.in_flight.remove(at) {
            Frame::ToClient { origin, response } => {
                let client = &mut state.clients[origin.client];
                let effects = client.on_response(state.now_ms, origin.key, response);
                self.apply_effects(state, origin.client, effects);
            }
            Frame::ToMember { to, origin, request } if state.members[to].is_leading => {
                let Request::Call { id, call } = request else { return };
                let call_index = self.call_index(origin, &call);
                let write = Write { source: call_index, id, call: &call, full: state.full };
                let replies = state.members[to].accept_write(origin, write);
                state.send_replies(replies);
            }
            Frame::ToMember { origin, .. } => {
                state.send_replies(vec![(origin, not_controller(address(state.leader)))]);
            }
        }
    }

    /// The call that really arrives, whichever shares its key.
    fn call_index(&self, origin: Origin, call: &Call) -> usize {
        let call_index = self
            .calls
            .iter()
            .position(|source| source.client == origin.client && source.call == *call);
        call_index.expect("every request is one of the model's calls")
    }

    fn restarts(&self, state: &mut ForwardedState) {
        state.incarnations[0] += 1;
        state.clients[0] = new_client();
        for (at, source) in self.calls.iter().enumerate() {
            let open = matches!(state.progress[at], Progress::Pending { .. } | Progress::Unsent);
            if source.client == 0 && self.incarnation_of(at) == 0 && open {
                state.progress[at] = Progress::Gone;
            }
        }
    }

    /// The incarnation of its client's process that sends this call, from 0.
    fn incarnation_of(&self, at: usize) -> u64 {
        let before = &self.calls[..at];
        before.iter().filter(|source| source.client == self.calls[at].client).count() as u64
    }

    fn has_restart(&self) -> bool {
        (0..self.calls.len()).any(|at| self.incarnation_of(at) > 0)
    }
}

impl Model for ForwardedCalls {
    type State = ForwardedState;
    type Action = ForwardedAction;

    fn initial(&self) -> ForwardedState {
        let log = vec![Entry { source: None, records: self.before.clone() }];
        let member = Member { log, committed: 1, is_leading: false, replies: Vec::new() };
        let mut state = ForwardedState {
            now_ms: 0,
            clients: [new_client(), new_client()],
            incarnations: [0, 0],
            members: [Member { is_leading: true, ..member.clone() }, member],
            in_flight: Vec::new(),
            progress: vec![Progress::Unsent; self.calls.len()],
            leader: 0,
            full: self.full,
            meanwhile: !self.meanwhile.is_empty(),
            losses: self.losses,
            ticks: self.ticks,
            printed: String::new(),
        };
        state.canonicalize();
        state
    }

    fn actions(&self, state: &ForwardedState) -> Vec<ForwardedAction> {
        use ForwardedAction::*;
        let unsent = |at: &usize| {
            let incarnations = state.incarnations[self.calls[*at].client];
            state.progress[*at] == Progress::Unsent && self.incarnation_of(*at) == incarnations
        };
        let mut actions: Vec<_> = (0..self.calls.len()).filter(unsent).map(Sends).collect();
        actions.extend((0..state.in_flight.len()).map(Arrives));
        let lossy = if state.losses > 0 { state.in_flight.len() } else { 0 };
        actions.extend((0..lossy).map(IsLost));
        let leader = &state.members[state.leader];
        let may = [
            (state.ticks > 0, Ticks),
            (state.clients.iter().any(|client| client.pending_count() > 0), TimesOut),
            (leader.committed < leader.log.len(), Commits),
            (self.elects && state.leader == 0, Elects { with_all: false }),
            (self.elects && state.leader == 0, Elects { with_all: true }),
            (state.leader == 1 && state.members[0].is_leading, Deposes),
            (state.meanwhile, Meanwhile),
            (state.full, SpaceReturns),
            (self.has_restart() && state.incarnations[0] == 0, Restarts),
        ];
        actions.extend(may.into_iter().filter(|(may, _)| *may).map(|(_, action)| action));
        actions
    }

    fn step(&self, state: &ForwardedState, action: &ForwardedAction) -> ForwardedState {
        use ForwardedAction::*;
        let mut next = state.clone();
        match *action {
            Sends(at) => self.requests(&mut next, at),
            Arrives(at) => self.arrives(&mut next, at),
            IsLost(at) => {
                next.losses -= 1;
                next.in_flight.remove(at);
            }
            Ticks => {
                next.ticks -= 1;
                next.now_ms += REQUEST_RETRY_MS;
                self.ticks(&mut next);
            }
            TimesOut => {
                next.now_ms += CONTROLLER_REQUEST_MS;
                self.ticks(&mut next);
            }
            Commits => {
                let replies = next.members[next.leader].commit_all();
                next.send_replies(replies);
            }
            Elects { with_all } => {
                let (first, second) = next.members.split_at_mut(1);
                let length = if with_all { first[0].log.len() } else { first[0].committed };
                second[0].log = first[0].log[..length].to_vec();
                second[0].committed = first[0].committed;
                second[0].is_leading = true;
                next.leader = 1;
            }
            Deposes => {
                let leader = next.members[1].clone();
                let replies = next.members[0].step_down(&leader);
                next.send_replies(replies);
            }
            Meanwhile => {
                next.meanwhile = false;
                let records = self.meanwhile.clone();
                next.members[next.leader].log.push(Entry { source: None, records });
            }
            SpaceReturns => next.full = false,
            Restarts => self.restarts(&mut next),
        }
        next.canonicalize();
        next
    }

    fn check(&self, state: &ForwardedState) -> Result<(), Violation> {
        for (at, progress) in state.progress.iter().enumerate() {
            if let Progress::Answered { number, .. } = progress {
                self.check_answered(state, at, *number)?;
            }
            self.check_once(state, at)?;
        }
        Ok(())
    }
}
