//! Linearizability of the calls on one name (Herlihy and Wing, 1990; the search is Wing and
//! Gong's).

use crate::client::calls::CompletedCall;
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, HashSet};

/// The sequential object behind one name: a number and a key's revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Register {
    number: u64,
    revision: u64,
}

/// The object after this call with this outcome; `None` if the outcome is not possible now.
fn step(register: Register, call: &Call, outcome: &Outcome) -> Option<Register> {
    let same = |matches: bool| matches.then_some(register);
    match (call, outcome) {
        (Call::Next { by, .. }, Outcome::Number(value)) => {
            (register.number + by == *value).then_some(Register { number: *value, ..register })
        }
        (Call::ReadNumber { .. }, Outcome::Number(value)) => same(register.number == *value),
        (Call::Put { revision, .. }, Outcome::Key(key)) => {
            let found = revision.is_none_or(|expected| expected == register.revision);
            (found && key.revision > register.revision)
                .then_some(Register { revision: key.revision, ..register })
        }
        (Call::Put { .. }, Outcome::Conflict { revision }) => same(register.revision == *revision),
        (Call::ReadKey { .. }, Outcome::Key(key)) => same(register.revision == key.revision),
        (Call::ReadKey { .. }, Outcome::NoKey) => same(register.revision == 0),
        _ => Some(register),
    }
}

/// Whether the history has a linearization: an order of all calls that respects real time.
fn has_order(history: &[&CompletedCall]) -> bool {
    let mut visited: HashSet<(Vec<bool>, Register)> = HashSet::new();
    let mut pending = vec![(vec![false; history.len()], Register::default())];
    while let Some((linearized, register)) = pending.pop() {
        if linearized.iter().all(|one| *one) {
            return true;
        }
        let remaining = || history.iter().enumerate().filter(|(at, _)| !linearized[*at]);
        let first_end = remaining().map(|(_, done)| done.end_us).min().unwrap_or(u64::MAX);
        for (at, done) in remaining().filter(|(_, done)| done.start_us <= first_end) {
            if let Some(next) = step(register, &done.call, &done.outcome) {
                let mut then = linearized.clone();
                then[at] = true;
                if visited.insert((then.clone(), next)) {
                    pending.push((then, next));
                }
            }
        }
    }
    false
}

fn name_of(call: &Call) -> Option<String> {
    match call {
        Call::Next { name, .. } | Call::ReadNumber { name } => Some(format!("number {name}")),
        Call::Put { name, .. } | Call::ReadKey { name } => Some(format!("key {name}")),
        _ => None,
    }
}

/// Names whose history is not linearizable.
pub fn check(calls: &[CompletedCall]) -> Vec<String> {
    let mut by_name: BTreeMap<String, Vec<&CompletedCall>> = BTreeMap::new();
    for done in calls {
        if let Some(name) = name_of(&done.call) {
            by_name.entry(name).or_default().push(done);
        }
    }
    let violations = by_name.into_iter().filter_map(|(name, mut history)| {
        history.sort_by_key(|done| done.start_us);
        (!has_order(&history)).then(|| format!("{name}: {} calls have no order", history.len()))
    });
    violations.collect()
}

#[cfg(test)]
mod tests;
