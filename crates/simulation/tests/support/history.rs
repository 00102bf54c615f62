//! Checks of the applications' calls over a run: acknowledged changes last, and none takes effect
//! twice.

use postbarrow_simulation::World;
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// A completed call on a name, with the number, revision or fencing token that its outcome shows.
struct Observation {
    start_us: u64,
    end_us: u64,
    value: u64,
    /// Whether the call created this value, so that no other call may have created it too.
    is_created: bool,
}

/// Returns the violations found in the calls that have ended in the run so far.
pub fn violations(world: &World) -> Vec<String> {
    let mut found = Vec::new();
    for (name, observations) in observations(world) {
        check_real_time(&name, &observations, &mut found);
        check_unique(&name, &observations, &mut found);
    }
    check_fence_owners(world, &mut found);
    if world.callers.watched_revisions.windows(2).any(|pair| pair[0] >= pair[1]) {
        found.push("a watch received an event twice or out of order".into());
    }
    found
}

/// Returns the names with a value that was acknowledged by `lost_us`, and without a completed
/// call that began at `returned_us` or later.
pub fn names_without_read_back(world: &World, lost_us: u64, returned_us: u64) -> Vec<String> {
    let was_acknowledged =
        |observation: &Observation| observation.end_us <= lost_us && observation.value > 0;
    observations(world)
        .into_iter()
        .filter(|(_, observations)| observations.iter().any(was_acknowledged))
        .filter(|(_, observations)| observations.iter().all(|one| one.start_us < returned_us))
        .map(|(name, _)| name)
        .collect()
}

/// Returns whether this call is a change that its outcome acknowledges.
pub fn is_acknowledged_change(call: &Call, outcome: &Outcome) -> bool {
    matches!(
        (call, outcome),
        (Call::Next { .. }, Outcome::Number(_))
            | (Call::Put { .. }, Outcome::Key(_))
            | (Call::Lock { .. } | Call::Renew { .. }, Outcome::Locked { .. })
            | (Call::Free { .. }, Outcome::Freed)
    )
}

/// Returns the observations of the run so far, by kind and name.
fn observations(world: &World) -> BTreeMap<String, Vec<Observation>> {
    let mut by_name: BTreeMap<String, Vec<Observation>> = BTreeMap::new();
    for completed in &world.callers.completed {
        if let Some((name, value, is_created)) = observed_value(&completed.call, &completed.outcome)
        {
            let (start_us, end_us) = (completed.start_us, completed.end_us);
            let observation = Observation { start_us, end_us, value, is_created };
            by_name.entry(name).or_default().push(observation);
        }
    }
    by_name
}

/// Returns the kind and name that a completed call used, the value that its outcome shows, and
/// whether the call created the value; `None` if the outcome shows no value.
fn observed_value(call: &Call, outcome: &Outcome) -> Option<(String, u64, bool)> {
    match (call, outcome) {
        (Call::Next { name, .. }, Outcome::Number(value)) => {
            Some((format!("number {name}"), *value, true))
        }
        (Call::ReadNumber { name }, Outcome::Number(value)) => {
            Some((format!("number {name}"), *value, false))
        }
        (Call::Put { name, .. }, Outcome::Key(key)) => {
            Some((format!("key {name}"), key.revision, true))
        }
        (Call::Put { name, .. }, Outcome::Conflict { revision }) => {
            Some((format!("key {name}"), *revision, false))
        }
        (Call::ReadKey { name }, Outcome::Key(key)) => {
            Some((format!("key {name}"), key.revision, false))
        }
        (Call::ReadKey { name }, Outcome::NoKey) => Some((format!("key {name}"), 0, false)),
        (Call::Lock { name, .. }, Outcome::Locked { fence, .. })
        | (Call::Lock { name, .. }, Outcome::LockedByOther { fence }) => {
            Some((format!("lock {name}"), *fence, false))
        }
        _ => None,
    }
}

/// Checks that a call which began after another had ended shows no older value than that, and
/// creates only a newer one.
fn check_real_time(name: &str, observations: &[Observation], found: &mut Vec<String>) {
    for later in observations {
        let earlier = observations.iter().filter(|observation| observation.end_us < later.start_us);
        let newest = earlier.map(|observation| observation.value).max().unwrap_or(0);
        let is_duplicate = later.is_created && later.value == newest && newest > 0;
        if later.value < newest || is_duplicate {
            let at_ms = later.end_us / 1_000;
            found.push(format!(
                "{name}: value {} at {at_ms} ms, though an earlier call had {newest}",
                later.value
            ));
        }
    }
}

/// Checks that no two calls created the same value.
fn check_unique(name: &str, observations: &[Observation], found: &mut Vec<String>) {
    let mut created = BTreeSet::new();
    for observation in observations.iter().filter(|observation| observation.is_created) {
        if !created.insert(observation.value) {
            found
                .push(format!("{name}: value {} was acknowledged to two calls", observation.value));
        }
    }
}

/// Checks that each fencing token belongs to one owner.
fn check_fence_owners(world: &World, found: &mut Vec<String>) {
    let mut owners = BTreeMap::new();
    for completed in &world.callers.completed {
        if let (Call::Lock { name, holder, .. }, Outcome::Locked { fence, .. }) =
            (&completed.call, &completed.outcome)
        {
            let owner = owners.entry((name, *fence)).or_insert(holder);
            if *owner != holder {
                found.push(format!("lock {name}: {owner} and {holder} both got fence {fence}"));
            }
        }
    }
}
