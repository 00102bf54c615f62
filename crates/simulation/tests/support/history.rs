//! Checks of the applications' calls over a run: what was acknowledged stays, and nothing repeats.

use postbarrow_simulation::World;
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// One completed call on a name: the number, revision or fencing token that its outcome shows.
struct Observation {
    start_us: u64,
    end_us: u64,
    value: u64,
    /// Whether the call made this value, so that no other call may have made it.
    is_new: bool,
}

/// What did not hold over the calls of the run so far.
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

/// Names with a value that was acknowledged before this time, and no call that began after it.
pub fn names_without_read_back(world: &World, lost_us: u64, returned_us: u64) -> Vec<String> {
    let was_acknowledged = |one: &Observation| one.end_us <= lost_us && one.value > 0;
    observations(world)
        .into_iter()
        .filter(|(_, observations)| observations.iter().any(was_acknowledged))
        .filter(|(_, observations)| observations.iter().all(|one| one.start_us < returned_us))
        .map(|(name, _)| name)
        .collect()
}

/// Whether this call changed the state and its outcome acknowledges that.
pub fn is_acknowledged_change(call: &Call, outcome: &Outcome) -> bool {
    matches!(
        (call, outcome),
        (Call::Next { .. }, Outcome::Number(_))
            | (Call::Put { .. }, Outcome::Key(_))
            | (Call::Lock { .. } | Call::Renew { .. }, Outcome::Locked { .. })
            | (Call::Free { .. }, Outcome::Freed)
    )
}

fn observations(world: &World) -> BTreeMap<String, Vec<Observation>> {
    let mut by_name: BTreeMap<String, Vec<Observation>> = BTreeMap::new();
    for done in &world.callers.done {
        if let Some((name, value, is_new)) = observed_value(&done.call, &done.outcome) {
            let (start_us, end_us) = (done.start_us, done.end_us);
            let observation = Observation { start_us, end_us, value, is_new };
            by_name.entry(name).or_default().push(observation);
        }
    }
    by_name
}

/// The name that a completed call is about, the value that it shows, and whether it made the value.
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

/// A call that began after another had ended shows no older value, and makes only a newer one.
fn check_real_time(name: &str, observations: &[Observation], found: &mut Vec<String>) {
    for later in observations {
        let earlier = observations.iter().filter(|one| one.end_us < later.start_us);
        let newest = earlier.map(|one| one.value).max().unwrap_or(0);
        let repeats = later.is_new && later.value == newest && newest > 0;
        if later.value < newest || repeats {
            let at_ms = later.end_us / 1_000;
            found.push(format!("{name}: {} at {at_ms} ms, after {newest}", later.value));
        }
    }
}

/// No two calls made the same value.
fn check_unique(name: &str, observations: &[Observation], found: &mut Vec<String>) {
    let mut made = BTreeSet::new();
    for observation in observations.iter().filter(|one| one.is_new) {
        if !made.insert(observation.value) {
            found.push(format!("{name}: {} was acknowledged twice", observation.value));
        }
    }
}

/// A fencing token belongs to one owner.
fn check_fence_owners(world: &World, found: &mut Vec<String>) {
    let mut owners = BTreeMap::new();
    for done in &world.callers.done {
        if let (Call::Lock { name, holder, .. }, Outcome::Locked { fence, .. }) =
            (&done.call, &done.outcome)
        {
            let owner = owners.entry((name, *fence)).or_insert(holder);
            if *owner != holder {
                found.push(format!("lock {name}: {owner} and {holder} got fence {fence}"));
            }
        }
    }
}
