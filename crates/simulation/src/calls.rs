//! Applications' calls for locks, numbers, keys and watches, and the checks of what they were told.

use crate::data::Waits;
use crate::event::Event;
use crate::world::World;
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Change, Name, Outcome, ResourceKind};
use std::collections::BTreeMap;

const WAIT_MS: u64 = 2_500;
const TTL_MS: u64 = 1_500;

/// One finished call: when it was asked and answered, and what it found or made.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    pub caller: usize,
    pub start_us: u64,
    pub end_us: u64,
    pub call: Call,
    pub outcome: Outcome,
}

#[derive(Clone)]
struct Open {
    number: u64,
    start_us: u64,
    call: Call,
    node: usize,
    sent_us: u64,
}

#[derive(Default)]
pub struct Callers {
    pub done: Vec<Done>,
    pub told: Vec<u64>,
    pub watch_from: Option<u64>,
    pub too_old: u64,
    open: BTreeMap<usize, Open>,
    held: BTreeMap<usize, (Name, u64, u64)>,
    holder: Option<(usize, u64)>,
    number: u64,
    revisions: BTreeMap<Name, u64>,
}

const WATCHER: usize = 3;
const STALE_US: u64 = 4_000_000;

impl Callers {
    /// The highest number or revision of the same name that was told before.
    pub fn most_told(&self, call: &Call, before_us: u64) -> u64 {
        let told = self.done.iter().filter(|done| done.end_us < before_us);
        let values = told.filter_map(|done| match (call, &done.call, &done.outcome) {
            (
                Call::ReadNumber { name },
                Call::Next { name: other, .. } | Call::ReadNumber { name: other },
                Outcome::Number(value),
            ) if name == other => Some(*value),
            (
                Call::ReadKey { name } | Call::Put { name, .. },
                Call::Put { name: other, .. } | Call::ReadKey { name: other },
                Outcome::Key(key),
            ) if name == other => Some(key.revision),
            _ => None,
        });
        values.max().unwrap_or(0)
    }
}

impl World {
    /// Asks the next thing, or requests the same again where the node that was asked is gone.
    pub fn next_call(&mut self, caller: usize) {
        self.after(40_000, Event::NextCall { caller });
        if let Some(open) = self.callers.open.get(&caller).cloned() {
            let lost = self.data[open.node].node.is_none();
            if lost || self.now_us > open.sent_us + STALE_US {
                self.call_goes(caller, open);
            }
            return;
        }
        if self.quiet && self.request_pause_us == 0 {
            return;
        }
        let call = match caller {
            WATCHER => {
                let after = self.callers.told.last().copied().or(self.callers.watch_from);
                Call::Watch { sort: ResourceKind::Key, prefix: Name::from(""), after }
            }
            _ => self.some_call(caller),
        };
        self.callers.number += 1;
        let number = self.callers.number;
        let open = Open { number, start_us: self.now_us, call, node: 0, sent_us: 0 };
        self.call_goes(caller, open);
    }

    fn some_call(&mut self, caller: usize) -> Call {
        if let Some((name, fence, _)) = self.callers.held.get(&caller).cloned() {
            let holder = Name::from(format!("caller-{caller}"));
            if self.random.chance(400) {
                return Call::Renew { name, holder, fence, ttl_ms: None };
            }
            self.lets_go(caller);
            return Call::Free { name, holder, fence };
        }
        let name = Name::from(format!("n{}", self.random.below(2)));
        match self.random.below(6) {
            0 => Call::Next { name, by: 1 + self.random.below(3) },
            1 => Call::ReadNumber { name },
            2 => Call::ReadKey { name },
            3 | 4 => {
                let revision = match self.random.chance(300) {
                    true => None,
                    false => Some(self.callers.revisions.get(&name).copied().unwrap_or(0)),
                };
                Call::Put { name, value: vec![caller as u8], revision }
            }
            _ => {
                let holder = Name::from(format!("caller-{caller}"));
                Call::Lock { name: Name::from("lock"), holder, ttl_ms: TTL_MS }
            }
        }
    }

    fn call_goes(&mut self, caller: usize, mut open: Open) {
        let alive: Vec<usize> =
            (0..self.data.len()).filter(|at| self.data[*at].node.is_some()).collect();
        if alive.is_empty() {
            return;
        }
        open.node = alive[self.random.below(alive.len() as u64) as usize];
        open.sent_us = self.now_us;
        let (node, number, call) = (open.node, open.number, open.call.clone());
        self.callers.open.insert(caller, open);
        let id = Some(Name::from(format!("call-{number}")));
        self.send_to_controller(
            node,
            Request::Call { id, call },
            WAIT_MS,
            Waits::Caller { caller, number },
        );
    }

    pub fn caller_hears(&mut self, caller: usize, number: u64, response: Response) {
        let Some(open) = self.callers.open.get(&caller).cloned() else { return };
        if open.number != number {
            return;
        }
        let Response::Outcome(outcome) = response else {
            return self.call_goes(caller, open);
        };
        self.callers.open.remove(&caller);
        match (&open.call, &outcome) {
            (_, Outcome::Events { events, next }) => {
                for event in events {
                    if !matches!(event.change, Change::Key(_) | Change::KeyGone) {
                        self.ledger.violate("a watch on keys was told of something else".into());
                    }
                    self.callers.told.push(event.revision);
                }
                if self.callers.watch_from.is_none() {
                    self.callers.watch_from = Some(*next);
                }
            }
            (_, Outcome::TooOld { .. }) => self.callers.too_old += 1,
            (Call::Lock { name, .. } | Call::Renew { name, .. }, Outcome::Locked { fence, .. }) => {
                self.takes(caller, name.clone(), *fence, open.sent_us.min(open.start_us));
            }
            (Call::Renew { .. }, _) => self.lets_go(caller),
            (Call::Put { name, .. } | Call::ReadKey { name }, Outcome::Key(key)) => {
                self.callers.revisions.insert(name.clone(), key.revision);
            }
            (Call::Put { name, .. }, Outcome::Conflict { revision }) => {
                self.callers.revisions.insert(name.clone(), *revision);
            }
            _ => {}
        }
        let (start_us, end_us) = (open.start_us, self.now_us);
        self.callers.done.push(Done { caller, start_us, end_us, call: open.call, outcome });
    }

    /// A holder counts its time from when it asked.
    fn takes(&mut self, caller: usize, name: Name, fence: u64, asked_us: u64) {
        let until_us = asked_us + TTL_MS * 1_000;
        if self.now_us >= until_us {
            return;
        }
        if let Some((other, other_us)) = self.callers.holder
            && other != caller
            && self.now_us < other_us
        {
            self.ledger.violate(format!("callers {other} and {caller} hold the lock at once"));
        }
        self.callers.holder = Some((caller, until_us));
        self.callers.held.insert(caller, (name, fence, until_us));
    }

    fn lets_go(&mut self, caller: usize) {
        self.callers.held.remove(&caller);
        if self.callers.holder.is_some_and(|(holder, _)| holder == caller) {
            self.callers.holder = None;
        }
    }
}
