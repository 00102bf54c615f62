//! Restarts and freezes of control and data nodes.

use crate::error::FleetError;
use crate::fleet::Fleet;
use crate::process::Process;
use std::thread::sleep;
use std::time::Duration;

/// How long a control node is away at a restart.
const CONTROL_PAUSE_MS: u64 = 700;

fn freeze(process: &Process, for_ms: u64) {
    process.signal(libc::SIGSTOP);
    sleep(Duration::from_millis(for_ms));
    process.signal(libc::SIGCONT);
}

impl Fleet {
    /// Ends these data nodes together by a signal, and starts them again after a pause.
    ///
    /// # Errors
    /// When one can't be started.
    pub fn restart_data(
        &mut self,
        positions: &[usize],
        signal: i32,
        pause_ms: u64,
    ) -> Result<(), FleetError> {
        let count = self.data.len();
        for at in positions {
            self.data[at % count].signal(signal);
        }
        for at in positions {
            self.data[at % count].reap();
        }
        sleep(Duration::from_millis(pause_ms));
        positions.iter().try_for_each(|at| self.data[at % count].start())
    }

    /// Ends these control nodes one after another by a signal, and starts them again after a pause.
    ///
    /// # Errors
    /// When one can't be started.
    pub fn restart_control(&mut self, positions: &[usize], signal: i32) -> Result<(), FleetError> {
        for at in positions {
            self.control[*at].signal(signal);
            self.control[*at].reap();
        }
        sleep(Duration::from_millis(CONTROL_PAUSE_MS));
        positions.iter().try_for_each(|at| self.control[*at].start())
    }

    /// Stops a data node for a while.
    pub fn freeze_data(&self, at: usize, for_ms: u64) {
        freeze(&self.data[at % self.data.len()], for_ms);
    }

    /// Stops the leader for a while.
    pub fn freeze_leader(&self, for_ms: u64) {
        freeze(&self.control[self.leader()], for_ms);
    }
}
