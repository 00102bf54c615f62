//! Linearizability of the calls on one name (Herlihy and Wing, 1990), decided by the search of Wing
//! and Gong.

use crate::client::calls::CompletedCall;
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, HashSet};

/// The state of the sequential object of one name: a number and the revision of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Register {
    number: u64,
    revision: u64,
}

/// Returns the object's state after a call with this outcome; `None` if the call cannot have this
/// outcome in the given state.
fn apply(register: Register, call: &Call, outcome: &Outcome) -> Option<Register> {
    let when = |matches: bool| matches.then_some(register);
    match (call, outcome) {
        (Call::Next { by, .. }, Outcome::Number(value)) => {
            (register.number + by == *value).then_some(Register { number: *value, ..register })
        }
        (Call::ReadNumber { .. }, Outcome::Number(value)) => when(register.number == *value),
        (Call::Put { revision, .. }, Outcome::Key(key)) => {
            let is_allowed = revision.is_none_or(|expected| expected == register.revision);
            (is_allowed && key.revision > register.revision)
                .then_some(Register { revision: key.revision, ..register })
        }
        (Call::Put { .. }, Outcome::Conflict { revision }) => when(register.revision == *revision),
        (Call::ReadKey { .. }, Outcome::Key(key)) => when(register.revision == key.revision),
        (Call::ReadKey { .. }, Outcome::NoKey) => when(register.revision == 0),
        _ => Some(register),
    }
}

/// Returns whether the history has a linearization: an order of all calls that respects real time
/// and in which each outcome is possible.
fn is_linearizable(history: &[&CompletedCall]) -> bool {
    let mut visited: HashSet<(Vec<bool>, Register)> = HashSet::new();
    let mut pending = vec![(vec![false; history.len()], Register::default())];
    while let Some((linearized, register)) = pending.pop() {
        if linearized.iter().all(|is_linearized| *is_linearized) {
            return true;
        }
        let remaining = || history.iter().enumerate().filter(|(at, _)| !linearized[*at]);
        let first_end =
            remaining().map(|(_, completed)| completed.end_us).min().unwrap_or(u64::MAX);
        for (at, completed) in remaining().filter(|(_, completed)| completed.start_us <= first_end)
        {
            if let Some(next) = apply(register, &completed.call, &completed.outcome) {
                let mut next_linearized = linearized.clone();
                next_linearized[at] = true;
                if visited.insert((next_linearized.clone(), next)) {
                    pending.push((next_linearized, next));
                }
            }
        }
    }
    false
}

/// Returns the kind and name that a call is about; `None` if it is about no number or key.
fn name_of(call: &Call) -> Option<String> {
    match call {
        Call::Next { name, .. } | Call::ReadNumber { name } => Some(format!("number {name}")),
        Call::Put { name, .. } | Call::ReadKey { name } => Some(format!("key {name}")),
        _ => None,
    }
}

/// Returns a violation for each name whose history is not linearizable.
pub fn check(calls: &[CompletedCall]) -> Vec<String> {
    let mut by_name: BTreeMap<String, Vec<&CompletedCall>> = BTreeMap::new();
    for completed in calls {
        if let Some(name) = name_of(&completed.call) {
            by_name.entry(name).or_default().push(completed);
        }
    }
    let violations = by_name.into_iter().filter_map(|(name, mut history)| {
        history.sort_by_key(|completed| completed.start_us);
        (!is_linearizable(&history))
            .then(|| format!("{name}: {} calls have no order", history.len()))
    });
    violations.collect()
}

#[cfg(test)]
mod tests;
