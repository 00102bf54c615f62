//! Numbers and watches over a whole run: what rose, what was left out.

use crate::linear;
use crate::world::World;
use postbarrow_state::{Call, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// Numbers and revisions only rise, reads are not older than acknowledged writes, watches have no
/// gap and no repeat.
pub fn check_calls(world: &mut World) {
    let mut highest: BTreeMap<String, Vec<(u64, u64, u64, bool)>> = BTreeMap::new();
    let mut puts = Vec::new();
    for done in &world.callers.done {
        let row = match (&done.call, &done.outcome) {
            (Call::Next { name, .. }, Outcome::Number(value)) => {
                Some((format!("number {name}"), *value, true))
            }
            (Call::ReadNumber { name }, Outcome::Number(value)) => {
                Some((format!("number {name}"), *value, false))
            }
            (Call::Put { name, .. }, Outcome::Key(key)) => {
                puts.push(key.revision);
                Some((format!("key {name}"), key.revision, true))
            }
            (Call::ReadKey { name }, Outcome::Key(key)) => {
                Some((format!("key {name}"), key.revision, false))
            }
            (Call::ReadKey { name }, Outcome::NoKey) => Some((format!("key {name}"), 0, false)),
            _ => None,
        };
        if let Some((name, value, write)) = row {
            highest.entry(name).or_default().push((done.start_us, done.end_us, value, write));
        }
    }
    let mut found = linear::check(&world.callers.done);
    for (name, rows) in &highest {
        for (start_us, _, value, write) in rows {
            let before = rows.iter().filter(|(_, end_us, _, _)| end_us < start_us);
            let max = before.map(|(_, _, value, _)| *value).max().unwrap_or(0);
            if *value < max || (*write && *value == max && max > 0) {
                found.push(format!("{name}: {value} after {max} was told"));
            }
        }
        let writes: Vec<u64> = rows.iter().filter(|row| row.3).map(|row| row.2).collect();
        if writes.iter().collect::<BTreeSet<_>>().len() != writes.len() {
            found.push(format!("{name}: two writes made the same"));
        }
    }
    let watched_revisions = &world.callers.watched_revisions;
    if watched_revisions.windows(2).any(|pair| pair[0] >= pair[1]) {
        found.push("a watch was told twice or out of order".into());
    }
    let from = world.callers.watch_from.unwrap_or(u64::MAX);
    let last = watched_revisions.last().copied().unwrap_or(0);
    let observed: BTreeSet<u64> = watched_revisions.iter().copied().collect();
    for put in puts.into_iter().filter(|put| *put > from && *put <= last) {
        if !observed.contains(&put) && world.callers.too_old == 0 {
            found.push(format!("a watch was never told of revision {put}"));
        }
    }
    found.into_iter().for_each(|text| world.ledger.violate(text));
}
