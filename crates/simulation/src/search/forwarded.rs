//! Model of calls forwarded to the controller: real clients at two members, over a modelled log.

use super::Model;
use super::forwarded_log::{Entry, Member, Origin, Write, elsewhere};
use super::forwarded_state::{ForwardedState, Progress, Way, address, new_client};
use postbarrow_constants::coordination::{CONTROLLER_REQUEST_MS, REQUEST_RETRY_MS};
use postbarrow_controller_client::Effect;
use postbarrow_messages::{Message, Request};
use postbarrow_state::{Call, Name, Record};
use postbarrow_transport::RequestKeys;

/// One caller's call, at the client of one member.
#[derive(Clone, Debug)]
pub struct Question {
    pub client: usize,
    /// Which life of that member's process.
    pub life: u64,
    pub id: Option<Name>,
    pub call: Call,
}

/// Calls, and how much may go wrong.
#[derive(Clone, Debug, Default)]
pub struct ForwardedCalls {
    pub questions: Vec<Question>,
    /// Committed before any call.
    pub before: Vec<Record>,
    /// What another caller does meanwhile, or time: once, at any moment.
    pub meanwhile: Vec<Record>,
    /// The log has no space at first, and then it has.
    pub full: bool,
    /// Messages that may be lost.
    pub losses: u8,
    /// Times that clients look whether to send again.
    pub ticks: u8,
    /// The second member may take the lead.
    pub elects: bool,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardedAction {
    Asks(usize),
    Arrives(usize),
    IsLost(usize),
    /// Time for clients to send again.
    Ticks,
    /// The time of every open call is over.
    TimesOut,
    Commits,
    /// The second member leads, with or without what the first has not committed.
    Elects {
        with_all: bool,
    },
    /// The first member hears of it.
    Deposes,
    Meanwhile,
    SpaceReturns,
    /// The first member's process ends, and another begins at its address.
    Restarts,
}

impl ForwardedCalls {
    /// As the programs draw keys: from the `QuestionKeys` of this life.
    fn key(&self, question: usize) -> u64 {
        RequestKeys::new(self.questions[question].life).next()
    }

    fn question_of(&self, state: &ForwardedState, client: usize, key: u64) -> Option<usize> {
        (0..self.questions.len()).find(|at| {
            let question = &self.questions[*at];
            let open = matches!(state.progress[*at], Progress::Open { .. });
            question.client == client && open && self.key(*at) == key
        })
    }

    fn absorb(&self, state: &mut ForwardedState, client: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message: Message::Request { key, request } } => {
                    let to = usize::from(to == address(1));
                    state.ways.push(Way::Question { to, origin: Origin { client, key }, request });
                }
                Effect::Answer { key, response } => {
                    if let Some(at) = self.question_of(state, client, key)
                        && let Progress::Open { number } = state.progress[at]
                    {
                        state.progress[at] = Progress::Heard { number, response };
                    }
                }
                Effect::Send { .. } => {}
            }
        }
    }

    fn requests(&self, state: &mut ForwardedState, at: usize) {
        let Question { client, id, call, .. } = self.questions[at].clone();
        state.progress[at] = Progress::Open { number: state.number() };
        let request = Request::Call { id, call };
        let effects = state.clients[client].send_request(
            state.now_ms,
            self.key(at),
            request,
            CONTROLLER_REQUEST_MS,
        );
        self.absorb(state, client, effects);
    }

    fn ticks(&self, state: &mut ForwardedState) {
        for client in 0..state.clients.len() {
            let effects = state.clients[client].tick(state.now_ms);
            self.absorb(state, client, effects);
        }
    }

    fn arrives(&self, state: &mut ForwardedState, at: usize) {
        match state.ways.remove(at) {
            Way::Answer { origin, response } => {
                let client = &mut state.clients[origin.client];
                let effects = client.on_response(state.now_ms, origin.key, response);
                self.absorb(state, origin.client, effects);
            }
            Way::Question { to, origin, request } if state.members[to].leads => {
                let Request::Call { id, call } = request else { return };
                let asked = self.asked_as(origin, &call);
                let write = Write { question: asked, id, call: &call, full: state.full };
                let told = state.members[to].takes(origin, write);
                state.answers(told);
            }
            Way::Question { origin, .. } => {
                state.answers(vec![(origin, elsewhere(address(state.leader)))]);
            }
        }
    }

    /// Whose question really arrives, whoever shares its key.
    fn asked_as(&self, origin: Origin, call: &Call) -> usize {
        let asked = self
            .questions
            .iter()
            .position(|question| question.client == origin.client && question.call == *call);
        asked.expect("every question is one of the model's")
    }

    fn restarts(&self, state: &mut ForwardedState) {
        state.lives[0] += 1;
        state.clients[0] = new_client();
        for (at, question) in self.questions.iter().enumerate() {
            let open = matches!(state.progress[at], Progress::Open { .. } | Progress::Unasked);
            if question.client == 0 && self.life_of(at) == 0 && open {
                state.progress[at] = Progress::Gone;
            }
        }
    }

    /// Lives of the first member's process, counted from 0 by when their questions come.
    fn life_of(&self, at: usize) -> u64 {
        let before = &self.questions[..at];
        before.iter().filter(|question| question.client == self.questions[at].client).count() as u64
    }

    fn has_restart(&self) -> bool {
        (0..self.questions.len()).any(|at| self.life_of(at) > 0)
    }
}

impl Model for ForwardedCalls {
    type State = ForwardedState;
    type Action = ForwardedAction;

    fn initial(&self) -> ForwardedState {
        let log = vec![Entry { question: None, records: self.before.clone() }];
        let member = Member { log, committed: 1, leads: false, replies: Vec::new() };
        let mut state = ForwardedState {
            now_ms: 0,
            clients: [new_client(), new_client()],
            lives: [0, 0],
            members: [Member { leads: true, ..member.clone() }, member],
            ways: Vec::new(),
            progress: vec![Progress::Unasked; self.questions.len()],
            leader: 0,
            full: self.full,
            meanwhile: !self.meanwhile.is_empty(),
            losses: self.losses,
            ticks: self.ticks,
            printed: String::new(),
        };
        state.settle();
        state
    }

    fn actions(&self, state: &ForwardedState) -> Vec<ForwardedAction> {
        use ForwardedAction::*;
        let unasked = |at: &usize| {
            let lives = state.lives[self.questions[*at].client];
            state.progress[*at] == Progress::Unasked && self.life_of(*at) == lives
        };
        let mut actions: Vec<_> = (0..self.questions.len()).filter(unasked).map(Asks).collect();
        actions.extend((0..state.ways.len()).map(Arrives));
        let lossy = if state.losses > 0 { state.ways.len() } else { 0 };
        actions.extend((0..lossy).map(IsLost));
        let leader = &state.members[state.leader];
        let may = [
            (state.ticks > 0, Ticks),
            (state.clients.iter().any(|client| client.open() > 0), TimesOut),
            (leader.committed < leader.log.len(), Commits),
            (self.elects && state.leader == 0, Elects { with_all: false }),
            (self.elects && state.leader == 0, Elects { with_all: true }),
            (state.leader == 1 && state.members[0].leads, Deposes),
            (state.meanwhile, Meanwhile),
            (state.full, SpaceReturns),
            (self.has_restart() && state.lives[0] == 0, Restarts),
        ];
        actions.extend(may.into_iter().filter(|(may, _)| *may).map(|(_, action)| action));
        actions
    }

    fn step(&self, state: &ForwardedState, action: &ForwardedAction) -> ForwardedState {
        use ForwardedAction::*;
        let mut next = state.clone();
        match *action {
            Asks(at) => self.requests(&mut next, at),
            Arrives(at) => self.arrives(&mut next, at),
            IsLost(at) => {
                next.losses -= 1;
                next.ways.remove(at);
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
                let told = next.members[next.leader].commits();
                next.answers(told);
            }
            Elects { with_all } => {
                let (first, second) = next.members.split_at_mut(1);
                let length = if with_all { first[0].log.len() } else { first[0].committed };
                second[0].log = first[0].log[..length].to_vec();
                second[0].committed = first[0].committed;
                second[0].leads = true;
                next.leader = 1;
            }
            Deposes => {
                let leader = next.members[1].clone();
                let told = next.members[0].is_deposed(&leader);
                next.answers(told);
            }
            Meanwhile => {
                next.meanwhile = false;
                let records = self.meanwhile.clone();
                next.members[next.leader].log.push(Entry { question: None, records });
            }
            SpaceReturns => next.full = false,
            Restarts => self.restarts(&mut next),
        }
        next.settle();
        next
    }

    fn check(&self, state: &ForwardedState) -> Result<(), String> {
        for (at, progress) in state.progress.iter().enumerate() {
            if let Progress::Heard { number, .. } = progress {
                self.check_heard(state, at, *number)?;
            }
            self.check_once(state, at)?;
        }
        Ok(())
    }
}
