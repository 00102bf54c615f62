//! Applies records of locks, numbers, keys, their events, and the outcomes of calls.

use crate::{Change, Event, Key, Lock, Name, Outcome, State};
use std::sync::Arc;

impl State {
    pub(super) fn set_lock(&mut self, name: &Name, holder: &Name, fence: u64, ttl_ms: u64) {
        self.locks.insert(name.clone(), Lock { holder: holder.clone(), fence, ttl_ms });
        self.fence = self.fence.max(fence);
        self.add_event(name, Change::Locked { fence });
    }

    pub(super) fn free_lock(&mut self, name: &Name) {
        self.locks.remove(name);
        self.add_event(name, Change::Freed);
    }

    pub(super) fn set_number(&mut self, name: &Name, value: u64) {
        self.numbers.insert(name.clone(), value);
        self.add_event(name, Change::Number(value));
    }

    pub(super) fn set_key(&mut self, name: &Name, key: &Key) {
        self.keys.insert(name.clone(), Arc::new(key.clone()));
        self.add_event(name, Change::Key(key.clone()));
    }

    pub(super) fn remove_key(&mut self, name: &Name) {
        self.keys.remove(name);
        self.add_event(name, Change::KeyGone);
    }

    fn add_event(&mut self, name: &Name, change: Change) {
        self.revision += 1;
        let event = Event { revision: self.revision, name: name.clone(), change };
        self.history.push_back(Arc::new(event));
    }

    pub(super) fn trim_history(&mut self, floor: u64) {
        while self.history.front().is_some_and(|event| event.revision <= floor) {
            self.history.pop_front();
        }
        self.history_floor = self.history_floor.max(floor);
    }

    pub(super) fn store_outcome(&mut self, id: &Name, outcome: &Outcome) {
        self.stored_outcomes.insert(id.clone(), Arc::new(outcome.clone()));
        self.stored_outcome_queue.push_back((self.era, id.clone()));
    }

    pub(super) fn remove_outcomes(&mut self, ids: &[Name]) {
        for id in ids {
            self.stored_outcomes.remove(id);
        }
        let stored = &self.stored_outcomes;
        while self.stored_outcome_queue.front().is_some_and(|(_, id)| !stored.contains_key(id)) {
            self.stored_outcome_queue.pop_front();
        }
    }
}
