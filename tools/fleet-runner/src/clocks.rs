use crate::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// Forward and back by more than an hour.
const JUMPS_S: [i64; 4] = [4_000, -4_000, 90_000, 0];
const PAUSE_MS: u64 = 1_200;

/// Every process to come starts with the variables of this file, which may give it a readable clock
/// that can be made to jump.
pub fn prepare(folder: &str, file: &str) -> Result<(), String> {
    if file.is_empty() {
        return Ok(());
    }
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    let here = std::env::current_dir().map_err(|error| error.to_string())?;
    let text = text.replace("{here}", &here.display().to_string());
    std::fs::write(format!("{folder}/variables"), text).map_err(|error| error.to_string())
}

impl Fleet {
    /// The clocks of a core machine and a data node jump forward, back, and right again; both
    /// must have the library that does it, or nothing would be brought about.
    pub fn jump_clocks(&mut self, seed: u64) -> Result<(), String> {
        let node = seed as usize % self.data.len();
        for process in [&self.control[seed as usize % 3], &self.data[node]] {
            if !process.has_loaded("libjumping_clock") {
                return Err(format!("{}: its clock can't be made to jump", process.name));
            }
        }
        let names = [format!("control-{}", seed % 3), format!("data-{node}")];
        for jump_s in JUMPS_S {
            for name in &names {
                let file = format!("{}/{name}.clock", self.folder);
                std::fs::write(file, jump_s.to_string()).map_err(|error| error.to_string())?;
            }
            sleep(Duration::from_millis(PAUSE_MS));
        }
        Ok(())
    }
}
