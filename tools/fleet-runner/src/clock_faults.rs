//! Jumps of the wall clocks that processes read.

use crate::deployment::CONTROL_NODES;
use crate::error::FleetError;
use crate::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// The successive offsets of the clocks from the true time, in seconds: jumps forward and back by
/// more than an hour, then the true time again.
const OFFSETS_S: [i64; 4] = [4_000, -4_000, 90_000, 0];
/// How long each offset lasts, in milliseconds.
const OFFSET_DURATION_MS: u64 = 1_200;

impl Fleet {
    /// Makes the wall clocks of one control node and one data node jump forward, back, and to the
    /// true time again.
    ///
    /// # Errors
    /// When one of the two runs without the library that makes its clock jump, or a file of a clock
    /// offset can't be written.
    pub fn jump_clocks(&mut self, seed: u64) -> Result<(), FleetError> {
        let control = seed as usize % CONTROL_NODES;
        let data = seed as usize % self.data.len();
        for process in [&self.control[control], &self.data[data]] {
            if !process.has_loaded("libjumping_clock") {
                return Err(FleetError::ClockLibraryMissing(process.name.clone()));
            }
        }
        let names = [format!("control-{control}"), format!("data-{data}")];
        for offset_s in OFFSETS_S {
            for name in &names {
                std::fs::write(self.launcher.clock_file(name), offset_s.to_string())?;
            }
            sleep(Duration::from_millis(OFFSET_DURATION_MS));
        }
        Ok(())
    }
}
