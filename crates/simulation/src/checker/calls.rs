//! Checks numbers, keys and watches over the history of a run.

use crate::checker::linearizability;
use crate::client::calls::{Callers, CompletedCall};
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// One completed call on a name, as far as order matters.
struct Operation {
    start_us: u64,
    end_us: u64,
    value: u64,
    is_write: bool,
}

/// Numbers and revisions only rise, reads are not older than acknowledged writes, watches have no
/// gap and no repeat.
pub fn check_calls(callers: &Callers) -> Vec<String> {
    let mut by_name: BTreeMap<String, Vec<Operation>> = BTreeMap::new();
    for done in &callers.done {
        if let Some((name, operation)) = operation(done) {
            by_name.entry(name).or_default().push(operation);
        }
    }
    let mut found = linearizability::check(&callers.done);
    by_name.iter().for_each(|(name, operations)| check_name(name, operations, &mut found));
    check_watch(callers, &mut found);
    found
}

/// The name of a completed call and what it read or wrote; `None` if neither.
fn operation(done: &CompletedCall) -> Option<(String, Operation)> {
    let (name, value, is_write) = match (&done.call, &done.outcome) {
        (Call::Next { name, .. }, Outcome::Number(value)) => {
            (format!("number {name}"), *value, true)
        }
        (Call::ReadNumber { name }, Outcome::Number(value)) => {
            (format!("number {name}"), *value, false)
        }
        (Call::Put { name, .. }, Outcome::Key(key)) => (format!("key {name}"), key.revision, true),
        (Call::ReadKey { name }, Outcome::Key(key)) => (format!("key {name}"), key.revision, false),
        (Call::ReadKey { name }, Outcome::NoKey) => (format!("key {name}"), 0, false),
        _ => return None,
    };
    Some((name, Operation { start_us: done.start_us, end_us: done.end_us, value, is_write }))
}

/// Values of one name rise in real time, and no two writes have the same.
fn check_name(name: &str, operations: &[Operation], found: &mut Vec<String>) {
    for Operation { start_us, value, is_write, .. } in operations {
        let before = operations.iter().filter(|other| other.end_us < *start_us);
        let max = before.map(|other| other.value).max().unwrap_or(0);
        if *value < max || (*is_write && *value == max && max > 0) {
            found.push(format!("{name}: {value} after {max} was acknowledged"));
        }
    }
    let writes: Vec<u64> =
        operations.iter().filter(|one| one.is_write).map(|one| one.value).collect();
    if writes.iter().collect::<BTreeSet<_>>().len() != writes.len() {
        found.push(format!("{name}: two writes made the same"));
    }
}

/// The watch on keys received each event once, in order and without a gap.
fn check_watch(callers: &Callers, found: &mut Vec<String>) {
    let watched_revisions = &callers.watched_revisions;
    if watched_revisions.windows(2).any(|pair| pair[0] >= pair[1]) {
        found.push("a watch received an event twice or out of order".into());
    }
    let from = callers.watch_from.unwrap_or(u64::MAX);
    let last = watched_revisions.last().copied().unwrap_or(0);
    let observed: BTreeSet<u64> = watched_revisions.iter().copied().collect();
    let puts = callers.done.iter().filter_map(|done| match (&done.call, &done.outcome) {
        (Call::Put { .. }, Outcome::Key(key)) => Some(key.revision),
        _ => None,
    });
    for put in puts.filter(|put| *put > from && *put <= last) {
        if !observed.contains(&put) && callers.too_old == 0 {
            found.push(format!("a watch never received revision {put}"));
        }
    }
}
