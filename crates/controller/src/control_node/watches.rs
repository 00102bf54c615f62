//! Handles watches: long polls for events of locks, numbers and keys.

use crate::ControlNode;
use crate::leader_state::PendingWatch;
use crate::origin::Origin;
use postbarrow_constants::coordination::WATCH_POLL_MS;
use postbarrow_messages::Response;
use postbarrow_state::{Name, Outcome, ResourceKind};

impl ControlNode {
    /// Answers a watch at once if it has events, or if `after` precedes the retained events or is
    /// beyond the current revision; otherwise the watch stays pending. A watch without `after` gets
    /// the current revision at once, from which the client continues.
    pub(super) fn on_watch(
        &mut self,
        now_ms: u64,
        origin: Origin,
        kind: ResourceKind,
        prefix: Name,
        after: Option<u64>,
    ) {
        let state = self.committed();
        let Some(after) = after else {
            let outcome = Outcome::Events { events: Vec::new(), next: state.revision };
            return self.respond(origin, Response::Outcome(outcome));
        };
        if after < state.history_floor || after > state.revision {
            let outcome = Outcome::TooOld { floor: state.history_floor };
            return self.respond(origin, Response::Outcome(outcome));
        }
        let until_ms = now_ms + WATCH_POLL_MS;
        let watch = PendingWatch { origin, kind, prefix, after, until_ms };
        if let Some(outcome) = watch.outcome(state) {
            self.respond(origin, Response::Outcome(outcome));
        } else if let Some(leader) = &mut self.leader {
            leader.watches.add(watch);
        }
    }

    /// Answers the pending watches that have events. Events that are committed while the leader has
    /// no lease wait until it is renewed, because another leader may have committed more by then.
    pub(super) fn respond_to_watches(&mut self, now_ms: u64) {
        if !self.has_lease(now_ms) {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        for (origin, outcome) in leader.watches.take_ready(self.tail.image()) {
            self.respond(origin, Response::Outcome(outcome));
        }
    }

    /// Answers the watches whose poll time is over.
    pub(super) fn watch_tick(&mut self, now_ms: u64) {
        let has_lease = self.has_lease(now_ms);
        let Some(leader) = &mut self.leader else { return };
        for watch in leader.watches.take_overdue(now_ms) {
            let response = if has_lease {
                Response::Outcome(watch.timeout_outcome(self.committed()))
            } else {
                Response::NotController { controller: None }
            };
            self.respond(watch.origin, response);
        }
    }
}
