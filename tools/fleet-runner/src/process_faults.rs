//! Restarts and suspensions of control and data nodes.

use crate::error::FleetError;
use crate::fleet::Fleet;
use crate::process::Process;
use std::thread::sleep;
use std::time::Duration;

/// Pause between the end and the start of restarted control nodes, in milliseconds.
const CONTROL_PAUSE_MS: u64 = 700;

fn freeze(process: &Process, duration_ms: u64) {
    process.signal(libc::SIGSTOP);
    sleep(Duration::from_millis(duration_ms));
    process.signal(libc::SIGCONT);
}

impl Fleet {
    /// Ends these data nodes concurrently by a signal, and starts them again after a pause.
    ///
    /// # Errors
    /// When a data node can't be started.
    pub fn restart_data(
        &mut self,
        indexes: &[usize],
        signal: i32,
        pause_ms: u64,
    ) -> Result<(), FleetError> {
        let count = self.data.len();
        for index in indexes {
            self.data[index % count].signal(signal);
        }
        for index in indexes {
            self.data[index % count].reap();
        }
        sleep(Duration::from_millis(pause_ms));
        indexes.iter().try_for_each(|index| self.data[index % count].start())
    }

    /// Ends these control nodes one after another by a signal, and starts them again after a pause.
    ///
    /// # Errors
    /// When a control node can't be started.
    pub fn restart_control(&mut self, indexes: &[usize], signal: i32) -> Result<(), FleetError> {
        for index in indexes {
            self.control[*index].signal(signal);
            self.control[*index].reap();
        }
        sleep(Duration::from_millis(CONTROL_PAUSE_MS));
        indexes.iter().try_for_each(|index| self.control[*index].start())
    }

    /// Suspends a data node by SIGSTOP for this many milliseconds.
    pub fn freeze_data(&self, index: usize, duration_ms: u64) {
        freeze(&self.data[index % self.data.len()], duration_ms);
    }

    /// Suspends the leader by SIGSTOP for this many milliseconds.
    pub fn freeze_leader(&self, duration_ms: u64) {
        freeze(&self.control[self.leader()], duration_ms);
    }
}
