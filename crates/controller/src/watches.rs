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
                let Some(lead) = &mut self.leader else { return };
                lead.pending_watches
                    .retain(|other| other.origin.to != origin.to || other.origin.key != origin.key);
                lead.pending_watches.push(PendingWatch { origin, sort, prefix, after, until_ms });
            }
        }
    }

    /// Events that were committed without the lease wait for it: they may be old by now.
    pub(crate) fn tell_watches(&mut self, now_ms: u64) {
        if !self.has_lease(now_ms) {
            return;
        }
        let state = self.tail.image().clone();
        let Some(lead) = &mut self.leader else { return };
        let mut told = Vec::new();
        lead.pending_watches.retain(|parked| {
            match events(&state, parked.sort, &parked.prefix, parked.after) {
                Some(outcome) => {
                    told.push((parked.origin, outcome));
                    false
                }
                None => true,
            }
        });
        for (origin, outcome) in told {
            self.respond(origin, Response::Outcome(outcome));
        }
    }

    pub(crate) fn watch_tick(&mut self, now_ms: u64) {
        let leased = self.has_lease(now_ms);
        let state = self.tail.image().clone();
        let Some(lead) = &mut self.leader else { return };
        let (due, parked) = std::mem::take(&mut lead.pending_watches)
            .into_iter()
            .partition::<Vec<_>, _>(|parked| now_ms >= parked.until_ms);
        lead.pending_watches = parked;
        for parked in due {
            let response = if leased {
                let found = events(&state, parked.sort, &parked.prefix, parked.after);
                let none = Outcome::Events { events: Vec::new(), next: state.revision };
                Response::Outcome(found.unwrap_or(none))
            } else {
                Response::NotController { controller: None }
            };
            self.respond(parked.origin, response);
        }
    }
}

/// Events after a revision, oldest first; None when there is none to tell.
fn events(state: &State, sort: ResourceKind, prefix: &Name, after: u64) -> Option<Outcome> {
    let fresh = state.revision.saturating_sub(after) as usize;
    let skipped = state.history.len().saturating_sub(fresh);
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
