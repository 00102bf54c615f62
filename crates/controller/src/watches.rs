use crate::{ControlNode, Origin};
use postbarrow_constants::coordination::{WATCH_EVENTS, WATCH_POLL_MS};
use postbarrow_messages::Response;
use postbarrow_state::{Event, Name, Outcome, ResourceKind, State};

/// A watch with nothing to tell yet.
pub(crate) struct PendingWatch {
    pub origin: Origin,
    sort: ResourceKind,
    prefix: Name,
    after: u64,
    until_ms: u64,
}

impl ControlNode {
    pub(crate) fn on_watch(
        &mut self,
        now_ms: u64,
        origin: Origin,
        sort: ResourceKind,
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
        match events(state, sort, &prefix, after) {
            Some(outcome) => self.respond(origin, Response::Outcome(outcome)),
            None => {
                let until_ms = now_ms + WATCH_POLL_MS;
                let Some(leader) = &mut self.leader else { return };
                leader
                    .pending_watches
                    .retain(|other| other.origin.to != origin.to || other.origin.key != origin.key);
                leader.pending_watches.push(PendingWatch { origin, sort, prefix, after, until_ms });
            }
        }
    }

    /// Events that were committed without the lease wait for it: they may be old by now.
    pub(crate) fn answer_watches(&mut self, now_ms: u64) {
        if !self.has_lease(now_ms) {
            return;
        }
        let state = self.tail.image().clone();
        let Some(leader) = &mut self.leader else { return };
        let mut answered = Vec::new();
        leader.pending_watches.retain(|watch| {
            match events(&state, watch.sort, &watch.prefix, watch.after) {
                Some(outcome) => {
                    answered.push((watch.origin, outcome));
                    false
                }
                None => true,
            }
        });
        for (origin, outcome) in answered {
            self.respond(origin, Response::Outcome(outcome));
        }
    }

    pub(crate) fn watch_tick(&mut self, now_ms: u64) {
        let leased = self.has_lease(now_ms);
        let state = self.tail.image().clone();
        let Some(leader) = &mut self.leader else { return };
        let (due, pending) = std::mem::take(&mut leader.pending_watches)
            .into_iter()
            .partition::<Vec<_>, _>(|watch| now_ms >= watch.until_ms);
        leader.pending_watches = pending;
        for watch in due {
            let response = if leased {
                let found = events(&state, watch.sort, &watch.prefix, watch.after);
                let none = Outcome::Events { events: Vec::new(), next: state.revision };
                Response::Outcome(found.unwrap_or(none))
            } else {
                Response::NotController { controller: None }
            };
            self.respond(watch.origin, response);
        }
    }
}

/// Events after a revision, oldest first; None when there is none to tell.
fn events(state: &State, sort: ResourceKind, prefix: &Name, after: u64) -> Option<Outcome> {
    let new_events = state.revision.saturating_sub(after) as usize;
    let skipped = state.history.len().saturating_sub(new_events);
    let matching = |event: &&std::sync::Arc<Event>| {
        event.revision > after
            && event.resource_kind() == sort
            && event.name.starts_with(prefix.as_str())
    };
    let found: Vec<Event> = state
        .history
        .iter()
        .skip(skipped)
        .filter(matching)
        .take(WATCH_EVENTS)
        .map(|event| event.as_ref().clone())
        .collect();
    let last = found.last()?.revision;
    let next = if found.len() == WATCH_EVENTS { last } else { state.revision };
    Some(Outcome::Events { events: found, next })
}
