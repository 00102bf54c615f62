//! Whether a history of calls on one name has an order that a single copy could have given.

use crate::calls::Done;
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, HashSet};

/// One name's single copy: a number, a key's revision, or a lock's fence while held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Copy {
    number: u64,
    revision: u64,
}

/// What a call means to the single copy: None if it can't come now.
fn step(copy: Copy, call: &Call, outcome: &Outcome) -> Option<Copy> {
    let same = |holds: bool| holds.then_some(copy);
    match (call, outcome) {
        (Call::Next { by, .. }, Outcome::Number(value)) => {
            (copy.number + by == *value).then_some(Copy { number: *value, ..copy })
        }
        (Call::ReadNumber { .. }, Outcome::Number(value)) => same(copy.number == *value),
        (Call::Put { revision, .. }, Outcome::Key(key)) => {
            let found = revision.is_none_or(|asked| asked == copy.revision);
            (found && key.revision > copy.revision)
                .then_some(Copy { revision: key.revision, ..copy })
        }
        (Call::Put { .. }, Outcome::Conflict { revision }) => same(copy.revision == *revision),
        (Call::ReadKey { .. }, Outcome::Key(key)) => same(copy.revision == key.revision),
        (Call::ReadKey { .. }, Outcome::NoKey) => same(copy.revision == 0),
        _ => Some(copy),
    }
}

/// Searches for such an order, calls that never ended left out only if nothing saw them.
fn has_order(history: &[&Done]) -> bool {
    let mut seen: HashSet<(Vec<bool>, Copy)> = HashSet::new();
    let mut open = vec![(vec![false; history.len()], Copy::default())];
    while let Some((taken, copy)) = open.pop() {
        if taken.iter().all(|one| *one) {
            return true;
        }
        let left = || history.iter().enumerate().filter(|(at, _)| !taken[*at]);
        let first_end = left().map(|(_, done)| done.end_us).min().unwrap_or(u64::MAX);
        for (at, done) in left().filter(|(_, done)| done.start_us <= first_end) {
            if let Some(next) = step(copy, &done.call, &done.outcome) {
                let mut then = taken.clone();
                then[at] = true;
                if seen.insert((then.clone(), next)) {
                    open.push((then, next));
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

/// Names whose history no single copy could have given.
pub fn check(calls: &[Done]) -> Vec<String> {
    let mut by_name: BTreeMap<String, Vec<&Done>> = BTreeMap::new();
    for done in calls {
        if let Some(name) = name_of(&done.call) {
            by_name.entry(name).or_default().push(done);
        }
    }
    let bad = by_name.into_iter().filter_map(|(name, mut history)| {
        history.sort_by_key(|done| done.start_us);
        (!has_order(&history)).then(|| format!("{name}: {} calls have no order", history.len()))
    });
    bad.collect()
}

#[cfg(test)]
mod tests;
