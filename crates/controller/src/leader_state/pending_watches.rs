//! Watches (long polls) that wait for their next event.

use crate::origin::Origin;
use postbarrow_constants::coordination::WATCH_EVENTS;
use postbarrow_state::{Event, Name, Outcome, ResourceKind, State};
use std::sync::Arc;

/// A watch that has had no event yet.
pub(crate) struct PendingWatch {
    pub origin: Origin,
    pub kind: ResourceKind,
    pub prefix: Name,
    /// The last revision that the client knows; only later events are sent.
    pub after: u64,
    /// When the watch is answered even without an event, in milliseconds of this leader's clock.
    pub until_ms: u64,
}

impl PendingWatch {
    /// Returns the events after the client's revision, oldest first and at most `WATCH_EVENTS`;
    /// `None` if there are none.
    pub fn outcome(&self, state: &State) -> Option<Outcome> {
        let new_events = state.revision.saturating_sub(self.after) as usize;
        let skipped = state.history.len().saturating_sub(new_events);
        let is_watched = |event: &&Arc<Event>| {
            event.revision > self.after
                && event.resource_kind() == self.kind
                && event.name.starts_with(self.prefix.as_str())
        };
        let events = state.history.iter().skip(skipped).filter(is_watched).take(WATCH_EVENTS);
        let events: Vec<Event> = events.map(|event| event.as_ref().clone()).collect();
        let last = events.last()?.revision;
        let next = if events.len() == WATCH_EVENTS { last } else { state.revision };
        Some(Outcome::Events { events, next })
    }

    /// Returns the outcome at the end of the poll time: the events so far, which may be none.
    pub fn timeout_outcome(&self, state: &State) -> Outcome {
        let none = Outcome::Events { events: Vec::new(), next: state.revision };
        self.outcome(state).unwrap_or(none)
    }
}

/// All pending watches of a leader, in the order of their arrival.
#[derive(Default)]
pub(crate) struct PendingWatches {
    watches: Vec<PendingWatch>,
}

impl PendingWatches {
    /// Adds a watch; it replaces the watch of the same request if that was sent before.
    pub fn add(&mut self, watch: PendingWatch) {
        self.watches.retain(|other| other.origin != watch.origin);
        self.watches.push(watch);
    }

    /// Removes the watches that have events in this state, and returns their origins and outcomes.
    pub fn take_ready(&mut self, state: &State) -> Vec<(Origin, Outcome)> {
        let mut ready = Vec::new();
        self.watches.retain(|watch| match watch.outcome(state) {
            Some(outcome) => {
                ready.push((watch.origin, outcome));
                false
            }
            None => true,
        });
        ready
    }

    /// Removes and returns the watches whose poll time is over.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<PendingWatch> {
        let (overdue, pending) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| now_ms >= watch.until_ms);
        self.watches = pending;
        overdue
    }

    pub fn into_watches(self) -> Vec<PendingWatch> {
        self.watches
    }
}
