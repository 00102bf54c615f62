use crate::{ControlNode, Origin};
use postbarrow_constants::consensus::HEARTBEAT_MS;
use postbarrow_constants::coordination::*;
use postbarrow_messages::Response;
use postbarrow_state::{Call, Key, Lock, Name, Outcome, Record, State};

impl ControlNode {
    pub(crate) fn on_call(&mut self, now_ms: u64, origin: Origin, id: Option<Name>, call: Call) {
        if let Err(reason) = check_call(&call) {
            return self.respond(origin, Response::Refused(reason));
        }
        match &call {
            Call::ReadLock { .. } | Call::ReadNumber { .. } | Call::ReadKey { .. } => {
                let outcome = read(self.committed(), &call);
                self.respond(origin, Response::Outcome(outcome));
            }
            Call::Watch { sort, prefix, after } => {
                self.on_watch(now_ms, origin, *sort, prefix.clone(), *after);
            }
            _ => self.on_write(now_ms, origin, id, call),
        }
    }

    fn on_write(&mut self, now_ms: u64, origin: Origin, id: Option<Name>, call: Call) {
        let Some(state) = self.current() else { return };
        if let Some(known) = id.as_ref().and_then(|id| state.repeats.get(id)) {
            let outcome = known.as_ref().clone();
            return self.reply_when_committed(now_ms, origin, Response::Outcome(outcome));
        }
        let full = state.repeats.len() >= STORED_RESULTS || state.history.len() >= HISTORY_EVENTS;
        let (outcome, mut records) = decide(state, &call);
        if let (Outcome::Locked { ttl_ms, .. }, Call::Lock { name, .. } | Call::Renew { name, .. }) =
            (&outcome, &call)
            && let Some(leader) = &mut self.leader
        {
            let due_ms = leader.locks_due_ms.entry(name.clone()).or_default();
            *due_ms = (*due_ms).max(now_ms + ttl_ms);
        }
        if records.is_empty() {
            return self.reply_when_committed(now_ms, origin, Response::Outcome(outcome));
        }
        if full {
            return self.shed(now_ms, origin);
        }
        if let Some(id) = id {
            records.push(Record::Repeat { id, outcome: outcome.clone() });
        }
        let offset = self.propose(now_ms, records);
        self.reply_at(now_ms, offset, origin, Response::Outcome(outcome));
    }

    /// Ends locks whose time is up. A controller that stood still gives its holders that time back.
    pub(crate) fn lock_tick(&mut self, now_ms: u64, gap_ms: u64) {
        let open = self.is_open();
        let Some(leader) = &mut self.leader else { return };
        if gap_ms > HEARTBEAT_MS {
            leader.locks_due_ms.values_mut().for_each(|due_ms| *due_ms += gap_ms);
        }
        if open {
            return;
        }
        let due: Vec<Name> = leader
            .locks_due_ms
            .iter()
            .filter(|(_, due_ms)| **due_ms <= now_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &due {
            leader.locks_due_ms.remove(name);
        }
        let is_locked =
            |name: &Name| self.current().is_some_and(|state| state.locks.contains_key(name));
        let freed: Vec<Record> =
            due.into_iter().filter(is_locked).map(|name| Record::LockFreed { name }).collect();
        if !freed.is_empty() {
            self.propose(now_ms, freed);
        }
    }
}

fn check_call(call: &Call) -> Result<(), String> {
    let (name, holder) = match call {
        Call::Lock { name, holder, .. }
        | Call::Renew { name, holder, .. }
        | Call::Free { name, holder, .. } => (name, Some(holder)),
        Call::ReadLock { name }
        | Call::Next { name, .. }
        | Call::ReadNumber { name }
        | Call::Put { name, .. }
        | Call::Remove { name, .. }
        | Call::ReadKey { name } => (name, None),
        Call::Watch { prefix, .. } => return check_length("prefix", prefix.len(), 0, NAME_BYTES),
    };
    check_length("name", name.len(), 1, NAME_BYTES)?;
    if let Some(holder) = holder {
        check_length("holder", holder.len(), 1, NAME_BYTES)?;
    }
    match call {
        Call::Lock { ttl_ms, .. } | Call::Renew { ttl_ms: Some(ttl_ms), .. }
            if !(LOCK_TTL_MIN_MS..=LOCK_TTL_MAX_MS).contains(ttl_ms) =>
        {
            Err(format!("ttlMs must be from {LOCK_TTL_MIN_MS} to {LOCK_TTL_MAX_MS}"))
        }
        Call::Put { value, .. } => check_length("value", value.len(), 0, VALUE_BYTES),
        Call::Next { by: 0, .. } => Err("by must be at least 1".into()),
        _ => Ok(()),
    }
}

fn check_length(name: &str, length: usize, min: usize, max: usize) -> Result<(), String> {
    if (min..=max).contains(&length) {
        Ok(())
    } else {
        Err(format!("{name} must have {min} to {max} bytes"))
    }
}

fn read(state: &State, call: &Call) -> Outcome {
    match call {
        Call::ReadLock { name } => match state.locks.get(name) {
            Some(lock) => Outcome::LockedByOther { fence: lock.fence },
            None => Outcome::NoLock,
        },
        Call::ReadNumber { name } => Outcome::Number(state.numbers.get(name).copied().unwrap_or(0)),
        Call::ReadKey { name } => match state.keys.get(name) {
            Some(key) => Outcome::Key(key.as_ref().clone()),
            None => Outcome::NoKey,
        },
        _ => Outcome::NoKey,
    }
}

/// More time for who holds it. A controller to come knows only the recorded time, so that is never
/// less than any that was given.
fn extend(name: &Name, lock: &Lock, ttl_ms: u64) -> (Outcome, Vec<Record>) {
    let outcome = Outcome::Locked { fence: lock.fence, ttl_ms };
    let longer = ttl_ms > lock.ttl_ms;
    let (name, holder, fence) = (name.clone(), lock.holder.clone(), lock.fence);
    let record = Record::Lock { name, holder, fence, ttl_ms };
    (outcome, if longer { vec![record] } else { Vec::new() })
}

/// What a call comes to in a state, and the records that make it so.
pub fn decide(state: &State, call: &Call) -> (Outcome, Vec<Record>) {
    match call {
        Call::Lock { name, holder, ttl_ms } => match state.locks.get(name) {
            Some(lock) if lock.holder == *holder => extend(name, lock, *ttl_ms),
            Some(lock) => (Outcome::LockedByOther { fence: lock.fence }, Vec::new()),
            None => {
                let (fence, ttl_ms) = (state.fence + 1, *ttl_ms);
                let record =
                    Record::Lock { name: name.clone(), holder: holder.clone(), fence, ttl_ms };
                (Outcome::Locked { fence, ttl_ms }, vec![record])
            }
        },
        Call::Renew { name, holder, fence, ttl_ms } => match state.locks.get(name) {
            Some(lock) if lock.holder == *holder && lock.fence == *fence => {
                extend(name, lock, ttl_ms.unwrap_or(lock.ttl_ms))
            }
            _ => (Outcome::NotOwner, Vec::new()),
        },
        Call::Free { name, holder, fence } => match state.locks.get(name) {
            Some(lock) if lock.holder == *holder && lock.fence == *fence => {
                (Outcome::Freed, vec![Record::LockFreed { name: name.clone() }])
            }
            _ => (Outcome::NotOwner, Vec::new()),
        },
        Call::Next { name, by } => {
            let current = state.numbers.get(name).copied().unwrap_or(0);
            match current.checked_add(*by) {
                Some(value) => {
                    (Outcome::Number(value), vec![Record::Number { name: name.clone(), value }])
                }
                None => (Outcome::Conflict { revision: current }, Vec::new()),
            }
        }
        Call::Put { name, value, revision } => {
            let current = state.keys.get(name).map_or(0, |key| key.revision);
            if revision.is_some_and(|expected| expected != current) {
                return (Outcome::Conflict { revision: current }, Vec::new());
            }
            let key = Key { value: value.clone(), revision: state.revision + 1 };
            (Outcome::Key(key.clone()), vec![Record::Key { name: name.clone(), key: Some(key) }])
        }
        Call::Remove { name, revision } => match state.keys.get(name) {
            None => (Outcome::NoKey, Vec::new()),
            Some(key) if revision.is_some_and(|expected| expected != key.revision) => {
                (Outcome::Conflict { revision: key.revision }, Vec::new())
            }
            Some(_) => {
                let revision = state.revision + 1;
                (Outcome::Removed { revision }, vec![Record::Key { name: name.clone(), key: None }])
            }
        },
        _ => (Outcome::NoKey, Vec::new()),
    }
}
