//! Handles calls of applications: locks, numbers, keys and watches.

use crate::ControlNode;
use crate::call_check::check_call;
use crate::call_decision::{decide_call, read_outcome};
use crate::origin::Origin;
use postbarrow_constants::coordination::{HISTORY_EVENTS, STORED_OUTCOMES_MAX};
use postbarrow_messages::Response;
use postbarrow_state::{Call, Name, Outcome, Record};

impl ControlNode {
    /// Handles an application's call. `id` identifies a call that writes, so that a repeat of it
    /// gets the outcome of the first one.
    pub(super) fn on_call(&mut self, now_ms: u64, origin: Origin, id: Option<Name>, call: Call) {
        if let Err(error) = check_call(&call) {
            return self.respond(origin, Response::Refused(error.to_string()));
        }
        match call {
            Call::ReadLock { .. } | Call::ReadNumber { .. } | Call::ReadKey { .. } => {
                let outcome = read_outcome(self.committed(), &call);
                self.respond(origin, Response::Outcome(outcome));
            }
            Call::Watch { sort, prefix, after } => {
                self.on_watch(now_ms, origin, sort, prefix, after);
            }
            _ => self.on_write(now_ms, origin, id, call),
        }
    }

    fn on_write(&mut self, now_ms: u64, origin: Origin, id: Option<Name>, call: Call) {
        let Some(state) = self.proposed_state() else { return };
        if let Some(known) = id.as_ref().and_then(|id| state.stored_outcomes.get(id)) {
            let outcome = known.as_ref().clone();
            return self.reply_when_committed(now_ms, origin, Response::Outcome(outcome));
        }
        let is_full = state.stored_outcomes.len() >= STORED_OUTCOMES_MAX
            || state.history.len() >= HISTORY_EVENTS;
        let (outcome, mut records) = decide_call(state, &call);
        if let (Outcome::Locked { ttl_ms, .. }, Call::Lock { name, .. } | Call::Renew { name, .. }) =
            (&outcome, &call)
            && let Some(leader) = &mut self.leader
        {
            leader.locks.extend(name, now_ms + ttl_ms);
        }
        if records.is_empty() {
            return self.reply_when_committed(now_ms, origin, Response::Outcome(outcome));
        }
        if is_full {
            return self.shed(now_ms, origin);
        }
        if let Some(id) = id {
            records.push(Record::Repeat { id, outcome: outcome.clone() });
        }
        let offset = self.propose(now_ms, records);
        self.reply_at(now_ms, offset, origin, Response::Outcome(outcome));
    }
}
