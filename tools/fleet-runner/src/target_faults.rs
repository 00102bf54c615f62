//! Faults of targets and of the platform's endpoint list.

use crate::deployment::zone;
use crate::error::FleetError;
use crate::fault_results::Drain;
use crate::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;
use tools_shared::wall_ms;

impl Fleet {
    /// Returns the instance name of a target, drawn from those that are listed and not draining; of
    /// this service, if one is given.
    fn draw_target(&self, seed: u64, service: Option<&str>) -> Result<String, FleetError> {
        let rows: Vec<_> = self
            .list
            .rows
            .values()
            .filter(|row| !row.draining && service.is_none_or(|service| row.service == service))
            .collect();
        let row = rows.get(seed as usize % rows.len().max(1));
        row.map(|row| row.instance.clone()).ok_or(FleetError::NoTarget)
    }

    fn kill_target_process(&mut self, instance: &str) {
        if let Some(target) = self.targets.get_mut(instance) {
            target.kill();
        }
    }

    /// Kills a target, removes it from the endpoint list, and adds another one of its service.
    fn replace_target(&mut self, instance: &str) -> Result<(), FleetError> {
        self.kill_target_process(instance);
        let Some(row) = self.list.rows.remove(instance) else { return Ok(()) };
        self.list.write()?;
        self.add_target(&row.service, &row.zone, None).map(|_| ())
    }

    /// Lists a target as draining, and replaces it after 3 s.
    ///
    /// # Errors
    /// When there is no target, or it can't be replaced.
    pub fn drain_target(&mut self, seed: u64, drains: &mut Vec<Drain>) -> Result<(), FleetError> {
        let instance = self.draw_target(seed, None)?;
        if let Some(row) = self.list.rows.get_mut(&instance) {
            row.draining = true;
        }
        self.list.write()?;
        drains.push(Drain { instance: instance.clone(), listed_ms: wall_ms() });
        sleep(Duration::from_millis(3_000));
        self.replace_target(&instance)
    }

    /// Kills a target, and replaces it after 1.5 s.
    ///
    /// # Errors
    /// When there is no target, or it can't be replaced.
    pub fn kill_target(&mut self, seed: u64) -> Result<(), FleetError> {
        let instance = self.draw_target(seed, None)?;
        self.kill_target_process(&instance);
        sleep(Duration::from_millis(1_500));
        self.replace_target(&instance)
    }

    /// Suspends a target by SIGSTOP for 3 s; its connections stay open.
    ///
    /// # Errors
    /// When there is no target.
    pub fn freeze_target(&mut self, seed: u64) -> Result<(), FleetError> {
        let instance = self.draw_target(seed, None)?;
        let target = self.targets.get(&instance).ok_or(FleetError::MissingProcess("target"))?;
        target.signal(libc::SIGSTOP);
        sleep(Duration::from_millis(3_000));
        target.signal(libc::SIGCONT);
        Ok(())
    }

    /// Kills a target of `ledger` and starts a target of `photos` at its address, before the
    /// endpoint list shows the change.
    ///
    /// # Errors
    /// When `ledger` has no target, a target can't be started, or the list can't be written.
    pub fn reuse_address(&mut self, seed: u64) -> Result<(), FleetError> {
        let ledger = self.draw_target(seed, Some("ledger"))?;
        let Some(row) = self.list.rows.get(&ledger).cloned() else { return Ok(()) };
        self.kill_target_process(&ledger);
        let successor = self.add_target("photos", &row.zone, Some(row.address.clone()))?;
        let unlisted = self.list.rows.remove(&successor);
        self.list.write()?;
        sleep(Duration::from_millis(1_500));
        self.list.rows.remove(&ledger);
        self.list.rows.extend(unlisted.map(|row| (successor, row)));
        self.list.write()?;
        self.add_target("ledger", zone(seed as usize), None).map(|_| ())
    }

    /// Makes the stand-in of the endpoint list inject a fault for this many milliseconds; `fault`
    /// is the text that the stand-in reads from its fault file.
    ///
    /// # Errors
    /// When the fault file can't be written.
    pub fn inject_list_fault(&self, fault: &str, duration_ms: u64) -> Result<(), FleetError> {
        let file = format!("{}/trouble", self.launcher.folder);
        std::fs::write(&file, fault)?;
        sleep(Duration::from_millis(duration_ms));
        Ok(std::fs::write(&file, "")?)
    }
}
