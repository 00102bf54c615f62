//! Applications' calls: sending, retrying, and the outcomes.

use crate::client::calls::{CompletedCall, PendingCall};
use crate::event::Event;
use crate::node::data::Waits;
use crate::world::World;
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Change, Name, Outcome, ResourceKind};

const WAIT_MS: u64 = 2_500;

const TTL_MS: u64 = 1_500;

const WATCHER: usize = 3;

const STALE_US: u64 = 4_000_000;

impl World {
    /// Sends the next call, or the pending one again where its node ended or did not answer.
    pub fn next_call(&mut self, caller: usize) {
        self.after(40_000, Event::NextCall { caller });
        if let Some(pending) = self.callers.pending.get(&caller).cloned() {
            let lost = self.data[pending.node].node.is_none();
            if lost || self.now_us > pending.sent_us + STALE_US {
                self.send_call(caller, pending);
            }
            return;
        }
        if self.quiet && self.request_pause_us == 0 {
            return;
        }
        let call = match caller {
            WATCHER => {
                let after =
                    self.callers.watched_revisions.last().copied().or(self.callers.watch_from);
                Call::Watch { sort: ResourceKind::Key, prefix: Name::from(""), after }
            }
            _ => self.draw_call(caller),
        };
        self.callers.number += 1;
        let number = self.callers.number;
        let pending = PendingCall { number, start_us: self.now_us, call, node: 0, sent_us: 0 };
        self.send_call(caller, pending);
    }

    fn draw_call(&mut self, caller: usize) -> Call {
        if let Some((name, fence, _)) = self.callers.locks.get(&caller).cloned() {
            let holder = Name::from(format!("caller-{caller}"));
            if self.random.chance(400) {
                return Call::Renew { name, holder, fence, ttl_ms: None };
            }
            self.release_lock(caller);
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

    fn send_call(&mut self, caller: usize, mut pending: PendingCall) {
        let alive: Vec<usize> =
            (0..self.data.len()).filter(|at| self.data[*at].node.is_some()).collect();
        if alive.is_empty() {
            return;
        }
        pending.node = alive[self.random.below(alive.len() as u64) as usize];
        pending.sent_us = self.now_us;
        let (node, number, call) = (pending.node, pending.number, pending.call.clone());
        self.callers.pending.insert(caller, pending);
        let id = Some(Name::from(format!("call-{number}")));
        self.send_to_controller(
            node,
            Request::Call { id, call },
            WAIT_MS,
            Waits::Caller { caller, number },
        );
    }

    /// Handles the controller's response to pending call `number` of `caller`; anything but an
    /// outcome makes the caller send the call again.
    pub fn caller_receives(&mut self, caller: usize, number: u64, response: Response) {
        let Some(pending) = self.callers.pending.get(&caller).cloned() else { return };
        if pending.number != number {
            return;
        }
        let Response::Outcome(outcome) = response else {
            return self.send_call(caller, pending);
        };
        self.callers.pending.remove(&caller);
        self.apply_outcome(caller, &pending, &outcome);
        let (start_us, end_us) = (pending.start_us, self.now_us);
        self.callers.done.push(CompletedCall {
            caller,
            start_us,
            end_us,
            call: pending.call,
            outcome,
        });
    }

    /// What a caller learns from an outcome: events, locks, revisions.
    fn apply_outcome(&mut self, caller: usize, pending: &PendingCall, outcome: &Outcome) {
        match (&pending.call, outcome) {
            (_, Outcome::Events { events, next }) => {
                for event in events {
                    if !matches!(event.change, Change::Key(_) | Change::KeyGone) {
                        self.ledger
                            .violate("a watch on keys received an event of another kind".into());
                    }
                    self.callers.watched_revisions.push(event.revision);
                }
                if self.callers.watch_from.is_none() {
                    self.callers.watch_from = Some(*next);
                }
            }
            (_, Outcome::TooOld { .. }) => self.callers.too_old += 1,
            (Call::Lock { name, .. } | Call::Renew { name, .. }, Outcome::Locked { fence, .. }) => {
                self.acquire_lock(
                    caller,
                    name.clone(),
                    *fence,
                    pending.sent_us.min(pending.start_us),
                );
            }
            (Call::Renew { .. }, _) => self.release_lock(caller),
            (Call::Put { name, .. } | Call::ReadKey { name }, Outcome::Key(key)) => {
                self.callers.revisions.insert(name.clone(), key.revision);
            }
            (Call::Put { name, .. }, Outcome::Conflict { revision }) => {
                self.callers.revisions.insert(name.clone(), *revision);
            }
            _ => {}
        }
    }

    /// An owner counts its time to live from when it sent the request.
    fn acquire_lock(&mut self, caller: usize, name: Name, fence: u64, requested_us: u64) {
        let until_us = requested_us + TTL_MS * 1_000;
        if self.now_us >= until_us {
            return;
        }
        if let Some((other, other_us)) = self.callers.lock_owner
            && other != caller
            && self.now_us < other_us
        {
            self.ledger.violate(format!("callers {other} and {caller} own the lock at once"));
        }
        self.callers.lock_owner = Some((caller, until_us));
        self.callers.locks.insert(caller, (name, fence, until_us));
    }

    fn release_lock(&mut self, caller: usize) {
        self.callers.locks.remove(&caller);
        if self.callers.lock_owner.is_some_and(|(holder, _)| holder == caller) {
            self.callers.lock_owner = None;
        }
    }
}
