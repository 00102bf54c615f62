//! Operators and callers that send all they have to one control machine, whatever becomes of it.

use crate::event::{Event, Who};
use crate::operator::{Handed, Purpose, ROUTES, plan_text};
use crate::orders::Order;
use crate::world::World;
use postbarrow_controller::{Contact, Input};
use postbarrow_controller_client::{ControllerClient, Effect};
use postbarrow_messages::{Envelope, Request, Response, Submission};
use postbarrow_plan::Plan;
use postbarrow_state::{Call, Name};
use std::collections::BTreeMap;

/// A question every so often, of each kind in turn.
const QUESTION_US: u64 = 20_000;
/// So long a question waits at the door of its machine.
const WAIT_MS: u64 = 2_500;
/// An order without a clear end is handed to the other operators after this.
const ORDER_US: u64 = 1_500_000;
/// A key's revision that never is, so that a put on it is always a conflict and tells the real one.
const NO_REVISION: u64 = u64::MAX;
/// The number that only these callers count.
const OWN_NUMBER: &str = "clung";
/// The number and the key that all callers use.
const SHARED: &str = "n0";

#[derive(Clone, Debug)]
pub enum Question {
    Show,
    Order(Handed),
    Call(Call),
}

#[derive(Clone, Debug)]
struct Asked {
    start_us: u64,
    question: Question,
}

/// The door of one control machine, and those who never try another.
pub struct Cling {
    pub at: usize,
    pub told: usize,
    pub unavailable: usize,
    pub unclear: usize,
    /// The longest that any question waited for "unavailable", by when it was asked.
    pub waits_us: Vec<(u64, u64)>,
    /// Numbers that were told, and how many were asked for without a clear end.
    pub numbers: Vec<u64>,
    pub numbers_unclear: usize,
    pub orders: usize,
    life: u64,
    controller_client: ControllerClient,
    open: BTreeMap<u64, Asked>,
    key: u64,
    pub order: Option<(u64, Handed)>,
}

impl Cling {
    fn new(at: usize, life: u64) -> Self {
        Cling {
            at,
            told: 0,
            unavailable: 0,
            unclear: 0,
            waits_us: Vec::new(),
            numbers: Vec::new(),
            numbers_unclear: 0,
            orders: 0,
            life,
            controller_client: ControllerClient::default(),
            open: BTreeMap::new(),
            key: 0,
            order: None,
        }
    }

    pub fn has_order(&self) -> bool {
        self.order.is_some()
    }

    /// Questions that should have had an end by then.
    pub fn overdue(&self, now_us: u64) -> usize {
        let due_us = (WAIT_MS + 500) * 1_000;
        self.open.values().filter(|asked| now_us > asked.start_us + due_us).count()
    }
}

impl World {
    /// From now on some cling to this control machine.
    pub fn cling_to(&mut self, at: usize) {
        self.cling = Some(Cling::new(at, self.control[at].life));
        self.after(0, Event::Cling);
    }

    /// Asks the next thing at the door.
    pub fn cling(&mut self) {
        let Some(cling) = &mut self.cling else { return };
        cling.key += 1;
        let (at, key) = (cling.at, cling.key);
        self.order_tick();
        let call = |call| Question::Call(call);
        let (number, shared) = (Name::from(OWN_NUMBER), Name::from(SHARED));
        let question = match key % 6 {
            0 => Question::Show,
            1 => call(Call::ReadNumber { name: shared }),
            2 => call(Call::ReadKey { name: shared }),
            3 => call(Call::Put { name: shared, value: vec![9], revision: Some(NO_REVISION) }),
            4 => call(Call::Next { name: number, by: 1 }),
            _ => match self.cling.as_ref().and_then(|cling| cling.order.clone()) {
                Some((_, handed)) => Question::Order(handed),
                None => Question::Show,
            },
        };
        let asked_us = self.now_us;
        self.after(0, Event::Door { at, key, asked_us, question });
        self.after(QUESTION_US, Event::Cling);
    }

    /// One order at a time in the whole cluster, so that each is a proper one.
    fn order_tick(&mut self) {
        let now_us = self.now_us;
        let idle = self.operator.is_idle() && !self.quiet && self.random.chance(30);
        let Some(cling) = &mut self.cling else { return };
        match cling.order.take() {
            Some((since_us, handed)) if now_us > since_us + ORDER_US => self.submit(handed),
            Some(order) => cling.order = Some(order),
            None if idle => {
                cling.orders += 1;
                self.operator.number += 1;
                let version = format!("v{}", self.operator.number);
                let base = self.operator.version.clone();
                let text = plan_text(&version, base.as_deref(), 0, false);
                self.operator.texts.insert(version.clone(), text.clone());
                self.operator.unsure.insert(text.clone());
                let order = Order { version, base, text };
                let handed = Handed { order, routes: ROUTES, purpose: Purpose::Change };
                cling.order = Some((now_us, handed));
            }
            None => {}
        }
    }

    /// A question arrives at the machine; a process that is down takes none.
    pub fn door_asked(&mut self, key: u64, asked_us: u64, question: Question) {
        let Some(at) = self.cling.as_ref().map(|cling| cling.at) else { return };
        if self.control[at].node.is_none() {
            return;
        }
        self.door_life(at);
        let request = match &question {
            Question::Show => Request::Show,
            Question::Order(handed) => Request::Submit(submission(handed)),
            Question::Call(call) => {
                Request::Call { id: Some(Name::from(format!("cling-{key}"))), call: call.clone() }
            }
        };
        let now_ms = self.local_ms(Who::Control(at));
        let Some(cling) = &mut self.cling else { return };
        cling.open.insert(key, Asked { start_us: asked_us, question });
        let effects = cling.controller_client.send_request(now_ms, key, request, WAIT_MS);
        self.door_does(at, effects);
    }

    /// With the process go its questions: nobody can say what became of them.
    fn door_life(&mut self, at: usize) {
        let life = self.control[at].life;
        let Some(cling) = &mut self.cling else { return };
        if cling.life == life {
            return;
        }
        cling.life = life;
        cling.controller_client = ControllerClient::default();
        for asked in std::mem::take(&mut cling.open).into_values() {
            cling.numbers_unclear += usize::from(is_own_number(&asked.question));
        }
    }

    /// As the program does at each tick.
    pub fn door_tick(&mut self, at: usize) {
        if self.cling.as_ref().is_none_or(|cling| cling.at != at) {
            return;
        }
        self.door_life(at);
        let now_ms = self.local_ms(Who::Control(at));
        let (Some(node), Some(cling)) = (&self.control[at].node, &mut self.cling) else { return };
        let log = node.consensus();
        let members: Vec<_> = log.members().iter().map(|member| member.address).collect();
        match node.contact(now_ms) {
            Contact::Outside => cling.controller_client.on_members(now_ms, None, &members),
            Contact::Leader(leader) => {
                cling.controller_client.on_members(now_ms, Some(leader), &members)
            }
            Contact::Silent { since_ms } => cling.controller_client.on_leader_lost(since_ms),
        }
        let effects = cling.controller_client.tick(now_ms);
        self.door_does(at, effects);
    }

    /// A response to a question from this machine's door.
    pub fn door_hears(&mut self, at: usize, key: u64, response: Response) {
        let now_ms = self.local_ms(Who::Control(at));
        let Some(cling) = self.cling.as_mut().filter(|cling| cling.at == at) else { return };
        let effects = cling.controller_client.on_response(now_ms, key, response);
        self.door_does(at, effects);
    }

    fn door_does(&mut self, at: usize, effects: Vec<Effect>) {
        let from = self.control[at].address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } if to == from => {
                    self.control_input(at, Input::Receive(Envelope { from, message }));
                }
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Answer { key, response } => self.door_answers(key, response),
            }
        }
    }

    fn door_answers(&mut self, key: u64, response: Response) {
        let now_us = self.now_us;
        let Some(cling) = &mut self.cling else { return };
        let Some(asked) = cling.open.remove(&key) else { return };
        let own_number = is_own_number(&asked.question);
        match response {
            Response::Unavailable => {
                cling.unavailable += 1;
                cling.waits_us.push((asked.start_us, now_us - asked.start_us));
            }
            Response::TimedOut => {
                cling.unclear += 1;
                cling.numbers_unclear += usize::from(own_number);
            }
            response => {
                cling.told += 1;
                self.check_told(asked.start_us, asked.question, response);
            }
        }
    }
}

impl Cling {
    /// Whether this is the order that has no end yet.
    pub fn is_order(&self, handed: &Handed) -> bool {
        self.order.as_ref().is_some_and(|(_, open)| open.order == handed.order)
    }
}

fn is_own_number(question: &Question) -> bool {
    matches!(question, Question::Call(Call::Next { .. }))
}

fn submission(handed: &Handed) -> Submission {
    let order = &handed.order;
    let plan = Plan::read(order.text.as_bytes()).expect("the simulator's plans are sound");
    Submission {
        version: order.version.as_str().into(),
        base: order.base.as_deref().map(Into::into),
        records: plan.records(),
        dry_run: false,
        allow_empty: true,
    }
}
