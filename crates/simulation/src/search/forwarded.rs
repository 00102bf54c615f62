//! Model of calls forwarded to the controller: real desks at two members, over a modelled log.

use super::Model;
use super::forwarded_log::{Entry, Member, Origin, Write, elsewhere};
use super::forwarded_state::{ForwardedState, Progress, Way, address, new_desk};
use postbarrow_constants::coordination::{ASK_AGAIN_MS, ASK_CONTROLLER_MS};
use postbarrow_desk::Effect;
use postbarrow_messages::{Ask, Message};
use postbarrow_state::{Call, Name, Record};
use postbarrow_transport::Slab;

/// One caller's call, at the desk of one member.
#[derive(Clone, Debug)]
pub struct Question {
    pub desk: usize,
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
    /// Times that desks look whether to send again.
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
    /// Time for desks to send again.
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
    /// As the programs draw keys: from a `Slab` of this life.
    fn key(&self, question: usize) -> u64 {
        Slab::new(self.questions[question].life).insert(())
    }

    fn question_of(&self, state: &ForwardedState, desk: usize, key: u64) -> Option<usize> {
        (0..self.questions.len()).find(|at| {
            let question = &self.questions[*at];
            let open = matches!(state.progress[*at], Progress::Open { .. });
            question.desk == desk && open && self.key(*at) == key
        })
    }

    fn absorb(&self, state: &mut ForwardedState, desk: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message: Message::Ask { key, ask } } => {
                    let to = usize::from(to == address(1));
                    state.ways.push(Way::Question { to, origin: Origin { desk, key }, ask });
                }
                Effect::Answer { key, response } => {
                    if let Some(at) = self.question_of(state, desk, key)
                        && let Progress::Open { number } = state.progress[at]
                    {
                        state.progress[at] = Progress::Heard { number, response };
                    }
                }
                Effect::Send { .. } => {}
            }
        }
    }

    fn asks(&self, state: &mut ForwardedState, at: usize) {
        let Question { desk, id, call, .. } = self.questions[at].clone();
        state.progress[at] = Progress::Open { number: state.number() };
        let ask = Ask::Call { id, call };
        let effects = state.desks[desk].ask(state.now_ms, self.key(at), ask, ASK_CONTROLLER_MS);
        self.absorb(state, desk, effects);
    }

    fn ticks(&self, state: &mut ForwardedState) {
        for desk in 0..state.desks.len() {
            let effects = state.desks[desk].tick(state.now_ms);
            self.absorb(state, desk, effects);
        }
    }

    fn arrives(&self, state: &mut ForwardedState, at: usize) {
        match state.ways.remove(at) {
            Way::Answer { origin, response } => {
                let desk = &mut state.desks[origin.desk];
                let effects = desk.on_response(state.now_ms, origin.key, response);
                self.absorb(state, origin.desk, effects);
            }
            Way::Question { to, origin, ask } if state.members[to].leads => {
                let Ask::Call { id, call } = ask else { return };
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
            .position(|question| question.desk == origin.desk && question.call == *call);
        asked.expect("every question is one of the model's")
    }

    fn restarts(&self, state: &mut ForwardedState) {
        state.lives[0] += 1;
        state.desks[0] = new_desk();
        for (at, question) in self.questions.iter().enumerate() {
            let open = matches!(state.progress[at], Progress::Open { .. } | Progress::Unasked);
            if question.desk == 0 && self.life_of(at) == 0 && open {
                state.progress[at] = Progress::Gone;
            }
        }
    }

    /// Lives of the first member's process, counted from 0 by when their questions come.
    fn life_of(&self, at: usize) -> u64 {
        let before = &self.questions[..at];
        before.iter().filter(|question| question.desk == self.questions[at].desk).count() as u64
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
            desks: [new_desk(), new_desk()],
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
            let lives = state.lives[self.questions[*at].desk];
            state.progress[*at] == Progress::Unasked && self.life_of(*at) == lives
        };
        let mut actions: Vec<_> = (0..self.questions.len()).filter(unasked).map(Asks).collect();
        actions.extend((0..state.ways.len()).map(Arrives));
        let lossy = if state.losses > 0 { state.ways.len() } else { 0 };
        actions.extend((0..lossy).map(IsLost));
        let leader = &state.members[state.leader];
        let may = [
            (state.ticks > 0, Ticks),
            (state.desks.iter().any(|desk| desk.open() > 0), TimesOut),
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
            Asks(at) => self.asks(&mut next, at),
            Arrives(at) => self.arrives(&mut next, at),
            IsLost(at) => {
                next.losses -= 1;
                next.ways.remove(at);
            }
            Ticks => {
                next.ticks -= 1;
                next.now_ms += ASK_AGAIN_MS;
                self.ticks(&mut next);
            }
            TimesOut => {
                next.now_ms += ASK_CONTROLLER_MS;
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
