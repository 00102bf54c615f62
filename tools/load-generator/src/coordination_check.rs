//! The check that a history of coordination calls is consistent with the gateway's guarantees.

use crate::coordination_calls::{CallResult, CompletedCall};
use std::collections::HashMap;

/// Returns the violations of these guarantees: locks never overlap, fencing tokens and numbers only
/// increase, no read is older than an acknowledged write, and no two puts replace the same
/// revision.
pub fn check(calls: &[CompletedCall]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_name: HashMap<&str, Vec<&CompletedCall>> = HashMap::new();
    for call in calls {
        by_name.entry(&call.name).or_default().push(call);
    }
    for (name, calls) in by_name {
        check_order(name, &calls, &mut violations);
        let mut puts_on: HashMap<u64, usize> = HashMap::new();
        for call in &calls {
            match call.result {
                CallResult::Put { base, .. } => *puts_on.entry(base).or_default() += 1,
                CallResult::Overlap => {
                    violations.push(format!("{name}: two clients owned the lock at the same time"))
                }
                _ => {}
            }
        }
        for (base, count) in puts_on.into_iter().filter(|(_, count)| *count > 1) {
            violations.push(format!("{name}: {count} puts replaced revision {base}"));
        }
    }
    violations
}

/// The value that a call observed: a number, a fencing token or a revision.
#[derive(Clone, Copy)]
struct Observation {
    value: u64,
    /// Whether the call created the value, so that no earlier call may have observed it.
    is_new: bool,
}

impl Observation {
    fn from_call(call: &CompletedCall) -> Option<Observation> {
        let (value, is_new) = match call.result {
            CallResult::Number(value) => (value, true),
            CallResult::Locked { fence } => (fence, true),
            CallResult::Put { revision, .. } => (revision, true),
            CallResult::Read { revision } => (revision, false),
            CallResult::Overlap | CallResult::Nothing => return None,
        };
        Some(Observation { value, is_new })
    }
}

/// Checks that each call observed at least the highest value of the calls that ended before it
/// started, and a higher one if the call created its value.
fn check_order(name: &str, calls: &[&CompletedCall], violations: &mut Vec<String>) {
    let mut by_start: Vec<(&CompletedCall, Observation)> =
        calls.iter().filter_map(|call| Some((*call, Observation::from_call(call)?))).collect();
    let mut by_end = by_start.clone();
    by_start.sort_by(|(a, _), (b, _)| a.start_ms.total_cmp(&b.start_ms));
    by_end.sort_by(|(a, _), (b, _)| a.end_ms.total_cmp(&b.end_ms));
    let mut ended = by_end.into_iter().peekable();
    let mut highest = 0;
    for (call, observed) in by_start {
        while let Some((_, earlier)) = ended.next_if(|(other, _)| other.end_ms < call.start_ms) {
            highest = highest.max(earlier.value);
        }
        if observed.value < highest || (observed.is_new && observed.value == highest) {
            violations.push(format!(
                "{name}: a call observed {} after an earlier call had observed {highest}",
                observed.value
            ));
        }
    }
}

#[cfg(test)]
mod tests;
