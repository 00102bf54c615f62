#![doc = include_str!("../README.md")]

use postbarrow_constants::coordination::ASK_AGAIN_MS;
use postbarrow_messages::{Ask, Message, Response};
use postbarrow_state::{Call, Outcome};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Statuses from here on tell an operator that a plan was not taken.
const FIRST_REFUSING_STATUS: u16 = 400;

#[derive(Clone, Debug)]
struct Open {
    ask: Ask,
    again_ms: u64,
    until_ms: u64,
    /// Sends to the present controller that got no response.
    unheard: u32,
    /// Copies sent that no response has shown to be without effect.
    copies: u32,
    /// A refusal that is told once no other copy can still take effect.
    refused: Option<Response>,
}

impl Open {
    fn new(ask: Ask, now_ms: u64, until_ms: u64) -> Open {
        Open { ask, again_ms: now_ms, until_ms, unheard: 0, copies: 0, refused: None }
    }
}

/// Whether a response says that nothing was done, for a reason that may be gone when another copy
/// of the same question arrives.
fn is_refusal(ask: &Ask, response: &Response) -> bool {
    match (ask, response) {
        (Ask::Submit(submission), Response::Operator { status, .. }) => {
            !submission.dry_run && *status >= FIRST_REFUSING_STATUS
        }
        (Ask::Call { .. }, Response::Full) => true,
        (Ask::Call { call, .. }, Response::Outcome(outcome)) => match call {
            Call::Lock { .. } | Call::Renew { .. } => {
                matches!(outcome, Outcome::Held { .. } | Outcome::NotHeld)
            }
            Call::Next { .. } | Call::Put { .. } | Call::Remove { .. } => {
                matches!(outcome, Outcome::Conflict { .. } | Outcome::NoKey)
            }
            Call::Free { .. }
            | Call::ReadLock { .. }
            | Call::ReadNumber { .. }
            | Call::ReadKey { .. }
            | Call::Watch { .. } => false,
        },
        _ => false,
    }
}

/// Questions that wait for the controller.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    open: BTreeMap<u64, Open>,
    controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    turn: usize,
}

pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Answer { key: u64, response: Response },
}

impl Desk {
    /// What was learnt of the control plane; a new controller gets every open question at once.
    pub fn learn(&mut self, now_ms: u64, controller: Option<SocketAddr>, members: &[SocketAddr]) {
        if !members.is_empty() {
            self.members = members.to_vec();
        }
        if controller.is_some() && controller != self.controller {
            self.controller = controller;
            for open in self.open.values_mut() {
                open.again_ms = now_ms;
                open.unheard = 0;
            }
        }
    }

    pub fn ask(&mut self, now_ms: u64, key: u64, ask: Ask, wait_ms: u64) -> Vec<Effect> {
        let until_ms = now_ms.saturating_add(wait_ms);
        let open = Open::new(ask, now_ms, until_ms);
        self.open.insert(key, open);
        self.pulse(now_ms)
    }

    pub fn pulse(&mut self, now_ms: u64) -> Vec<Effect> {
        self.doubt_the_silent(now_ms);
        let mut effects = Vec::new();
        let mut over = Vec::new();
        let to = self
            .controller
            .or_else(|| self.members.get(self.turn % self.members.len().max(1)).copied());
        let mut turned = false;
        for (key, open) in &mut self.open {
            if now_ms >= open.until_ms {
                over.push(*key);
            } else if now_ms >= open.again_ms && open.refused.is_none() {
                open.again_ms = now_ms + ASK_AGAIN_MS;
                open.unheard += 1;
                if let Some(to) = to {
                    open.copies += 1;
                    let message = Message::Ask { key: *key, ask: open.ask.clone() };
                    effects.push(Effect::Send { to, message });
                    turned = true;
                }
            }
        }
        if turned && self.controller.is_none() {
            self.turn += 1;
        }
        for key in over {
            self.open.remove(&key);
            effects.push(Effect::Answer { key, response: Response::TimedOut });
        }
        effects
    }

    /// A controller that left two sends of one question unanswered may be gone.
    fn doubt_the_silent(&mut self, now_ms: u64) {
        let due = |open: &&mut Open| {
            open.unheard >= 2 && now_ms >= open.again_ms && open.refused.is_none()
        };
        let silent: Vec<&mut Open> = self.open.values_mut().filter(due).collect();
        if !silent.is_empty() {
            self.controller = None;
        }
        silent.into_iter().for_each(|open| open.unheard = 0);
    }

    /// A response to a question that is no longer open is nobody's. A refusal is told only once
    /// every copy of its question is known to be without effect: one still on its way could be
    /// taken after the caller heard that its call was not.
    pub fn on_response(&mut self, now_ms: u64, key: u64, response: Response) -> Vec<Effect> {
        let Some(open) = self.open.get_mut(&key) else { return Vec::new() };
        if !matches!(response, Response::Lost) {
            open.copies = open.copies.saturating_sub(1);
        }
        match response {
            Response::NotController { controller } => {
                self.controller = controller;
                open.again_ms = match controller {
                    Some(_) => now_ms,
                    None => open.again_ms.min(now_ms + ASK_AGAIN_MS / 3),
                };
            }
            Response::Lost => self.controller = None,
            Response::Waiting => open.unheard = 0,
            response if is_refusal(&open.ask, &response) => open.refused = Some(response),
            response => {
                self.open.remove(&key);
                return vec![Effect::Answer { key, response }];
            }
        }
        let mut effects = self.tell_refusal(key);
        effects.extend(self.pulse(now_ms));
        effects
    }

    fn tell_refusal(&mut self, key: u64) -> Vec<Effect> {
        let told = |open: &Open| open.copies == 0 && open.refused.is_some();
        if !self.open.get(&key).is_some_and(told) {
            return Vec::new();
        }
        let refused = self.open.remove(&key).and_then(|open| open.refused);
        refused.map(|response| Effect::Answer { key, response }).into_iter().collect()
    }

    /// The controller did not answer other questions either.
    pub fn doubt(&mut self) {
        self.controller = None;
    }

    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
