//! Full and emptied disks of control nodes.

use crate::deployment::CONTROL_NODES;
use crate::error::FleetError;
use crate::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// A data node with the seeds of its first start has to be ready again within this.
const RESTART_MS: u128 = 15_000;
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl Fleet {
    /// A control node's files may grow no further: as a full disk, for this process alone. It has
    /// to end, and is started again without the limit.
    ///
    /// # Errors
    /// When it goes on, or can't be started again.
    pub fn fill_disk(&mut self, at: usize) -> Result<(), FleetError> {
        let process = &mut self.control[at];
        process.limit_files(0)?;
        for _ in 0..100 {
            sleep(Duration::from_millis(50));
            if process.has_ended() {
                process.reap();
                sleep(Duration::from_millis(500));
                return process.start();
            }
        }
        Err(FleetError::FullDiskIgnored)
    }

    /// Each control node in turn comes back empty at another address; then a data node starts on
    /// its old seeds.
    ///
    /// # Errors
    /// When one of them does not come back.
    pub fn replace_seeds(&mut self) -> Result<(), FleetError> {
        for at in 0..CONTROL_NODES {
            self.empty_control(at)?;
        }
        let old = format!("127.0.0.1:{}", self.ports.control(0));
        let at = self.data.iter().position(|node| node.arguments().contains(&old)).unwrap_or(0);
        self.data[at].signal(libc::SIGTERM);
        self.data[at].reap();
        self.data[at].start()?;
        self.wait_ready(RESTART_MS).map(|_| ())
    }

    /// A control node comes back empty, at a position that none had before.
    ///
    /// # Errors
    /// When the others are no quorum, or it does not become a voter.
    pub fn empty_control(&mut self, at: usize) -> Result<(), FleetError> {
        let position = self.next_control_position;
        for _ in 0..60 {
            if self.has_three_voters() {
                break;
            }
            sleep(POLL_INTERVAL);
        }
        if !self.has_three_voters() {
            return Err(FleetError::VotersMissing);
        }
        self.control[at].kill();
        std::fs::remove_dir_all(format!("{}/control-{at}", self.launcher.folder))?;
        self.next_control_position += 1;
        let arguments = self.control_arguments(at, position)?;
        self.control[at].set_arguments(arguments);
        self.control[at].start()?;
        let own = self.control_address(at)?;
        for _ in 0..80 {
            sleep(POLL_INTERVAL);
            if self.has_three_voters() && self.is_voter(own) {
                return Ok(());
            }
        }
        Err(FleetError::NotVoter)
    }
}
