use crate::fleet::Fleet;
use crate::spec::ZONES;
use std::thread::sleep;
use std::time::Duration;

pub fn some_target(fleet: &Fleet, seed: u64, service: Option<&str>) -> Result<String, String> {
    let rows: Vec<_> = fleet
        .list
        .rows
        .values()
        .filter(|row| !row.draining && service.is_none_or(|service| row.service == service))
        .collect();
    let row = rows.get(seed as usize % rows.len().max(1));
    row.map(|row| row.instance.clone()).ok_or_else(|| "no target is left".into())
}

/// The target goes, off the list too, and another of its service comes.
pub fn leave(fleet: &mut Fleet, instance: &str) -> Result<(), String> {
    if let Some(target) = fleet.targets.get_mut(instance) {
        target.kill();
    }
    let Some(row) = fleet.list.rows.remove(instance) else { return Ok(()) };
    fleet.list.write()?;
    fleet.add_target(&row.service, &row.zone, None).map(|_| ())
}

/// A ledger goes and a photo store takes its address before the list knows.
pub fn pass_address(fleet: &mut Fleet, seed: u64) -> Result<(), String> {
    let instance = some_target(fleet, seed, Some("ledger"))?;
    let Some(row) = fleet.list.rows.get(&instance).cloned() else { return Ok(()) };
    if let Some(target) = fleet.targets.get_mut(&instance) {
        target.kill();
    }
    let stranger = fleet.add_target("photos", &row.zone, Some(row.address.clone()))?;
    let kept = fleet.list.rows.remove(&stranger);
    fleet.list.write()?;
    sleep(Duration::from_millis(1_500));
    fleet.list.rows.remove(&instance);
    fleet.list.rows.extend(kept.map(|row| (stranger, row)));
    fleet.list.write()?;
    fleet.add_target("ledger", ZONES[seed as usize % 3], None).map(|_| ())
}
