//! Jumps of the clocks that can be read.

use crate::deployment::CONTROL_NODES;
use crate::error::FleetError;
use crate::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// Offsets from the right time: forward and back by more than an hour, and right again.
const OFFSETS_S: [i64; 4] = [4_000, -4_000, 90_000, 0];
const PAUSE_MS: u64 = 1_200;

impl Fleet {
    /// The clocks of a control node and a data node jump forward, back, and right again.
    ///
    /// # Errors
    /// When a process runs without the library that makes its clock jump, or a file can't be
    /// written.
    pub fn jump_clocks(&mut self, seed: u64) -> Result<(), FleetError> {
        let control = seed as usize % CONTROL_NODES;
        let data = seed as usize % self.data.len();
        for process in [&self.control[control], &self.data[data]] {
            if !process.has_loaded("libjumping_clock") {
                return Err(FleetError::ClockFixed(process.name.clone()));
            }
        }
        let names = [format!("control-{control}"), format!("data-{data}")];
        for offset_s in OFFSETS_S {
            for name in &names {
                std::fs::write(self.launcher.clock_file(name), offset_s.to_string())?;
            }
            sleep(Duration::from_millis(PAUSE_MS));
        }
        Ok(())
    }
}
