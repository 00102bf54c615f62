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
        let Some(leader) = &mut self.leader else { return };
        let Some(state) = leader.writer.proposed_state() else { return };
        if let Some(known) = id.as_ref().and_then(|id| state.stored_outcomes.get(id)) {
            let outcome = known.as_ref().clone();
            leader.grants.on_outcome(state, &call, &outcome);
            return self.reply_when_committed(now_ms, origin, Response::Outcome(outcome));
        }
        if let Some(version) = leader.grants.required_confirmation(state, &call) {
            return self.respond(origin, Response::ConfirmClient { version });
        }
        let is_full = state.stored_outcomes.len() >= STORED_OUTCOMES_MAX
            || state.history.len() >= HISTORY_EVENTS;
        let (outcome, mut records) = decide_call(state, &call);
        if let (
            Outcome::Locked { ttl_ms, .. },
            Call::Lock { name, .. } | Call::Renew { name, .. },
        ) = (&outcome, &call)
        {
            leader.locks.extend(name, now_ms + ttl_ms);
        }
        if is_full && !records.is_empty() {
            return self.shed(now_ms, origin);
        }
        leader.grants.on_outcome(state, &call, &outcome);
        if records.is_empty() {
            return self.reply_when_committed(now_ms, origin, Response::Outcome(outcome));
        }
        if let Some(id) = id {
            records.push(Record::Repeat { id, outcome: outcome.clone() });
        }
        let offset = self.propose(now_ms, records);
        self.reply_at(now_ms, offset, origin, Response::Outcome(outcome));
    }
}
