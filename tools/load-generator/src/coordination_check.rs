//! Whether a history of coordination calls is one that the gateway promises.

use crate::coordination_calls::{CallResult, CompletedCall};
use std::collections::HashMap;

/// Locks never overlap, fences and numbers only rise, no read is older than an acknowledged write,
/// and no two puts replace the same revision.
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
                    violations.push(format!("{name}: two held the lock at once"))
                }
                _ => {}
            }
        }
        for (base, count) in puts_on.into_iter().filter(|(_, count)| *count > 1) {
            violations.push(format!("{name}: {count} puts left from revision {base}"));
        }
    }
    violations
}

/// A value that a call observed.
#[derive(Clone, Copy)]
struct Observation {
    value: u64,
    /// Whether the call made the value, so that no earlier call may have observed it.
    is_new: bool,
}

impl Observation {
    fn of(call: &CompletedCall) -> Option<Observation> {
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

/// What a call observed is not below what an earlier one, which ended before it started, observed;
/// and what a write made is above.
fn check_order(name: &str, calls: &[&CompletedCall], violations: &mut Vec<String>) {
    let mut by_start: Vec<(&CompletedCall, Observation)> =
        calls.iter().filter_map(|call| Some((*call, Observation::of(call)?))).collect();
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
            violations.push(format!("{name}: {} after {highest} was told", observed.value));
        }
    }
}

#[cfg(test)]
mod tests;
