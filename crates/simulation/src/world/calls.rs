//! Calls of applications (callers): sending, retries and outcomes.

use crate::client::calls::{CallArrival, CompletedCall, PendingCall};
use crate::event::{Event, ProcessId};
use crate::node::data::ResponseRecipient;
use crate::world::World;
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Change, Name, Outcome, ResourceKind};

/// Time that a call may wait at the data node for its outcome, in milliseconds.
const RESPONSE_WAIT_MS: u64 = 2_500;

/// Time to live of a lock, in milliseconds.
const LOCK_TTL_MS: u64 = 1_500;

/// Index of the caller that watches all keys.
const WATCHER: usize = 3;

/// Number of a thousand releases during which the caller departs, to start its lock again under the
/// same name.
const DEPARTURES_PER_MILLE: u64 = 200;

/// Time for which a caller that departed during a release keeps the lock after its return, in
/// microseconds: most freezes are shorter.
const RETURNED_OWNER_US: u64 = 5_000_000;

/// Time within which a release passes all its steps from the data node to the commit, in
/// microseconds.
const RELEASE_STEPS_US: u64 = 5_000;

/// Number of a thousand calls whose node notices that the caller has departed.
const NOTICED_DEPARTURES_PER_MILLE: u64 = 500;

/// Time after which a call without a response is sent again, in microseconds.
const RESEND_AFTER_US: u64 = 4_000_000;

/// The same where owners of locks depart: shorter than a lock's time to live, so that a renewal sent
/// to a frozen node does not lose the lock.
const DEPARTING_RESEND_AFTER_US: u64 = 1_000_000;

impl World {
    /// Sends the next call of a caller, or its pending call again if the node has ended or has not
    /// answered in time; schedules the next run after 40 ms.
    pub fn next_call(&mut self, caller: usize) {
        self.schedule(40_000, Event::NextCall { caller });
        if let Some(pending) = self.callers.pending.get(&caller).cloned() {
            let has_node_ended = self.data[pending.node].node.is_none();
            let resend_after_us =
                if self.owners_depart { DEPARTING_RESEND_AFTER_US } else { RESEND_AFTER_US };
            if has_node_ended || self.now_us > pending.sent_us + resend_after_us {
                self.send_call(caller, pending);
            }
            return;
        }
        if self.plans_paused && self.request_pause_us == 0 {
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
        let is_release = matches!(call, Call::Free { .. });
        let pending = PendingCall { number, start_us: self.now_us, call, node: 0, sent_us: 0 };
        self.send_call(caller, pending);
        if self.owners_depart && is_release && self.random.chance(DEPARTURES_PER_MILLE) {
            self.depart_during_release(caller);
        }
    }

    /// Has a caller depart from the release that it has just sent. It starts the lock again with
    /// its next call.
    fn depart_during_release(&mut self, caller: usize) {
        let Some(release) = self.callers.pending.remove(&caller) else { return };
        self.callers.returning.insert(caller);
        self.callers.keeps_lock_until_us.insert(caller, self.now_us + RETURNED_OWNER_US);
        self.callers.departures += 1;
        if self.plans_paused {
            return;
        }
        if self.random.chance(500) {
            return self.freeze_during_release(ProcessId::Data(release.node));
        }
        let control = self.random.below(self.control.len() as u64) as usize;
        let steps_us = self.random.below(RELEASE_STEPS_US);
        let freeze = Event::FreezeDuringRelease(ProcessId::Control(control));
        self.schedule(steps_us, freeze);
    }

    /// Returns a random call; a caller with a lock renews or frees it.
    fn draw_call(&mut self, caller: usize) -> Call {
        if let Some((name, fence, _)) = self.callers.locks.get(&caller).cloned() {
            let holder = Name::from(format!("caller-{caller}"));
            let until_us = self.callers.keeps_lock_until_us.get(&caller).copied().unwrap_or(0);
            if self.now_us < until_us || self.random.chance(400) {
                return Call::Renew { name, holder, fence, ttl_ms: None };
            }
            self.release_lock(caller);
            return Call::Free { name, holder, fence };
        }
        let lock = Call::Lock {
            name: Name::from("lock"),
            holder: Name::from(format!("caller-{caller}")),
            ttl_ms: LOCK_TTL_MS,
        };
        if self.callers.returning.remove(&caller) {
            return lock;
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
            _ => lock,
        }
    }

    /// Sends a pending call through a random data node that runs, if any does.
    fn send_call(&mut self, caller: usize, mut pending: PendingCall) {
        let running: Vec<usize> =
            (0..self.data.len()).filter(|at| self.data[*at].node.is_some()).collect();
        if running.is_empty() {
            return;
        }
        pending.node = running[self.random.below(running.len() as u64) as usize];
        pending.sent_us = self.now_us;
        let (node, incarnation) = (pending.node, self.data[pending.node].incarnation);
        let (number, call) = (pending.number, pending.call.clone());
        self.callers.pending.insert(caller, pending);
        if !self.owners_depart {
            return self.forward_call(caller, number, call, node);
        }
        let is_departure_noticed = self.random.chance(NOTICED_DEPARTURES_PER_MILLE);
        let call = CallArrival { caller, number, call, is_departure_noticed };
        self.schedule(0, Event::CallArrives { call, data: node, incarnation });
    }

    /// Forwards a call that a data node has read to the controller.
    pub fn call_arrives(&mut self, call: CallArrival, node: usize, incarnation: u64) {
        let CallArrival { caller, number, call, is_departure_noticed } = call;
        let is_running = self.data[node].incarnation == incarnation;
        if !is_running || (is_departure_noticed && !self.is_waiting(caller, number, node)) {
            return;
        }
        self.forward_call(caller, number, call, node);
    }

    fn forward_call(&mut self, caller: usize, number: u64, call: Call, node: usize) {
        let request = Request::Call { id: Some(call_id(number)), call };
        let recipient = ResponseRecipient::Caller { caller, number };
        self.send_to_controller(node, request, RESPONSE_WAIT_MS, recipient);
    }

    /// Returns whether a caller waits at this data node for the outcome of its call.
    fn is_waiting(&self, caller: usize, number: u64, node: usize) -> bool {
        let pending = self.callers.pending.get(&caller);
        pending.is_some_and(|pending| pending.number == number && pending.node == node)
    }

    /// Handles the controller's response to a call at the data node that forwarded it. A release
    /// that must be confirmed is sent again if its caller still waits at this node.
    pub fn node_receives_outcome(
        &mut self,
        node: usize,
        caller: usize,
        number: u64,
        response: Response,
    ) {
        let Response::ConfirmClient { version } = response else {
            return self.caller_receives(caller, number, response);
        };
        if !self.is_waiting(caller, number, node) {
            return;
        }
        let Some(pending) = self.callers.pending.get(&caller) else { return };
        let release = Request::Call { id: Some(call_id(number)), call: pending.call.clone() };
        self.callers.confirmations += 1;
        let recipient = ResponseRecipient::Caller { caller, number };
        self.send_to_controller(node, release.confirmed(version), RESPONSE_WAIT_MS, recipient);
    }

    /// Handles the controller's response to pending call `number` of `caller`; the caller sends the
    /// call again after any response but an outcome.
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
        self.callers.completed.push(CompletedCall {
            caller,
            start_us,
            end_us,
            call: pending.call,
            outcome,
        });
    }

    /// Updates a caller's state from the outcome of a call: received events, locks and revisions.
    fn apply_outcome(&mut self, caller: usize, pending: &PendingCall, outcome: &Outcome) {
        match (&pending.call, outcome) {
            (_, Outcome::Events { events, next }) => {
                for event in events {
                    if !matches!(event.change, Change::Key(_) | Change::KeyGone) {
                        self.ledger
                            .report("a watch on keys received an event of another kind".into());
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

    /// Records that a caller holds a lock, unless its time to live has passed since the caller first
    /// sent the request; checks that no other caller holds it.
    fn acquire_lock(&mut self, caller: usize, name: Name, fence: u64, requested_us: u64) {
        let until_us = requested_us + LOCK_TTL_MS * 1_000;
        if self.now_us >= until_us {
            return;
        }
        if let Some((other, other_us)) = self.callers.lock_owner
            && other != caller
            && self.now_us < other_us
        {
            self.ledger.report(format!("callers {other} and {caller} own the lock at once"));
        }
        self.callers.lock_owner = Some((caller, until_us));
        self.callers.locks.insert(caller, (name, fence, until_us));
    }

    /// Records that a caller no longer holds its lock.
    fn release_lock(&mut self, caller: usize) {
        self.callers.locks.remove(&caller);
        if self.callers.lock_owner.is_some_and(|(holder, _)| holder == caller) {
            self.callers.lock_owner = None;
        }
    }
}

/// Returns the id of the call with this number, which it shares with its repeats.
fn call_id(number: u64) -> Name {
    Name::from(format!("call-{number}"))
}
