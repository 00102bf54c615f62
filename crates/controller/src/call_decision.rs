//! Decides the outcomes of applications' calls on locks, numbers and keys.

use postbarrow_state::{Call, Key, Lock, Name, Outcome, Record, State};

/// Returns the outcome of a call that only reads.
pub(crate) fn read_outcome(state: &State, call: &Call) -> Outcome {
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

/// Extends a lock for its owner. A later leader knows only the recorded time to live, so a record
/// is written if the granted time is longer. The recorded time is never less than a granted one.
fn extend_lock(name: &Name, lock: &Lock, ttl_ms: u64) -> (Outcome, Vec<Record>) {
    let outcome = Outcome::Locked { fence: lock.fence, ttl_ms };
    let is_longer = ttl_ms > lock.ttl_ms;
    let (name, holder, fence) = (name.clone(), lock.holder.clone(), lock.fence);
    let record = Record::Lock { name, holder, fence, ttl_ms };
    (outcome, if is_longer { vec![record] } else { Vec::new() })
}

/// Returns the outcome of a call in this state, and the records that apply its change; no records
/// if the call changes nothing.
pub fn decide_call(state: &State, call: &Call) -> (Outcome, Vec<Record>) {
    match call {
        Call::Lock { name, holder, ttl_ms } => match state.locks.get(name) {
            Some(lock) if lock.holder == *holder => extend_lock(name, lock, *ttl_ms),
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
                extend_lock(name, lock, ttl_ms.unwrap_or(lock.ttl_ms))
            }
            _ => (Outcome::NotOwner, Vec::new()),
        },
        Call::Free { name, holder, fence } | Call::FreeConfirmed { name, holder, fence, .. } => {
            match state.locks.get(name) {
                Some(lock) if lock.holder == *holder && lock.fence == *fence => {
                    (Outcome::Freed, vec![Record::LockFreed { name: name.clone() }])
                }
                _ => (Outcome::NotOwner, Vec::new()),
            }
        }
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
