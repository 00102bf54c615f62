//! Checks of numbers, keys and watches over the history of a run.

use crate::checker::linearizability;
use crate::client::calls::{Callers, CompletedCall};
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// One completed call on a name: its start, its end, and the number or revision that it read or
/// wrote.
struct Operation {
    start_us: u64,
    end_us: u64,
    value: u64,
    is_write: bool,
}

/// Checks that numbers and revisions only rise, that no read returns less than a write acknowledged
/// before it, that watches have neither gap nor repetition, and that the history is linearizable.
/// Returns the violations.
pub fn check_calls(callers: &Callers) -> Vec<String> {
    let mut by_name: BTreeMap<String, Vec<Operation>> = BTreeMap::new();
    for completed in &callers.completed {
        if let Some((name, operation)) = operation(completed) {
            by_name.entry(name).or_default().push(operation);
        }
    }
    let mut violations = linearizability::check(&callers.completed);
    by_name.iter().for_each(|(name, operations)| check_name(name, operations, &mut violations));
    check_watch(callers, &mut violations);
    violations
}

/// Returns the kind and name that a completed call was about with the value that it read or wrote;
/// `None` if it read and wrote no number or key.
fn operation(completed: &CompletedCall) -> Option<(String, Operation)> {
    let (name, value, is_write) = match (&completed.call, &completed.outcome) {
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
    Some((
        name,
        Operation { start_us: completed.start_us, end_us: completed.end_us, value, is_write },
    ))
}

/// Checks that the values of one name rise in real time and that no two writes returned the same
/// value.
fn check_name(name: &str, operations: &[Operation], violations: &mut Vec<String>) {
    for Operation { start_us, value, is_write, .. } in operations {
        let earlier = operations.iter().filter(|other| other.end_us < *start_us);
        let max = earlier.map(|other| other.value).max().unwrap_or(0);
        if *value < max || (*is_write && *value == max && max > 0) {
            violations.push(format!("{name}: {value} after {max} was acknowledged"));
        }
    }
    let writes: Vec<u64> = operations
        .iter()
        .filter(|operation| operation.is_write)
        .map(|operation| operation.value)
        .collect();
    if writes.iter().collect::<BTreeSet<_>>().len() != writes.len() {
        violations.push(format!("{name}: two writes made the same"));
    }
}

/// Checks that the watch on keys received each event once, in order and without a gap.
fn check_watch(callers: &Callers, violations: &mut Vec<String>) {
    let watched_revisions = &callers.watched_revisions;
    if watched_revisions.windows(2).any(|pair| pair[0] >= pair[1]) {
        violations.push("a watch received an event twice or out of order".into());
    }
    let from = callers.watch_from.unwrap_or(u64::MAX);
    let last = watched_revisions.last().copied().unwrap_or(0);
    let received: BTreeSet<u64> = watched_revisions.iter().copied().collect();
    let puts = callers.completed.iter().filter_map(|call| match (&call.call, &call.outcome) {
        (Call::Put { .. }, Outcome::Key(key)) => Some(key.revision),
        _ => None,
    });
    for revision in puts.filter(|revision| *revision > from && *revision <= last) {
        if !received.contains(&revision) && callers.too_old == 0 {
            violations.push(format!("a watch never received revision {revision}"));
        }
    }
}
