//! Disk faults of control nodes: full disks and emptied disks.

use crate::deployment::CONTROL_NODES;
use crate::error::FleetError;
use crate::fleet::Fleet;
use std::thread::sleep;
use std::time::Duration;

/// Time within which every data node must be ready after one was restarted with its old seeds, in
/// milliseconds.
const RESTART_TIMEOUT_MS: u128 = 15_000;
/// Pause between two requests for the members.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl Fleet {
    /// Simulates a full disk of one control node by a limit on its file sizes, which affects no
    /// other process. The node must end, and is then started again without the limit.
    ///
    /// # Errors
    /// When the node does not end in time, or can't be started again.
    pub fn fill_disk(&mut self, index: usize) -> Result<(), FleetError> {
        let process = &mut self.control[index];
        process.limit_file_size(0)?;
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

    /// Starts each control node in turn with an empty disk at another address, then restarts a data
    /// node whose seeds are the old addresses.
    ///
    /// # Errors
    /// When a control node does not become a voter again, or the data nodes are not ready in time.
    pub fn replace_seeds(&mut self) -> Result<(), FleetError> {
        for index in 0..CONTROL_NODES {
            self.restart_control_empty(index)?;
        }
        let old_seed = format!("127.0.0.1:{}", self.ports.control(0));
        let index =
            self.data.iter().position(|node| node.arguments().contains(&old_seed)).unwrap_or(0);
        self.data[index].signal(libc::SIGTERM);
        self.data[index].reap();
        self.data[index].start()?;
        self.wait_ready(RESTART_TIMEOUT_MS).map(|_| ())
    }

    /// Kills a control node, deletes its data, and starts it at a new position and so at a new
    /// address.
    ///
    /// # Errors
    /// When `has_three_voters` stays false before the kill, a file or process can't be changed, or
    /// the node does not become a voter again.
    pub fn restart_control_empty(&mut self, index: usize) -> Result<(), FleetError> {
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
        self.control[index].kill();
        std::fs::remove_dir_all(format!("{}/control-{index}", self.launcher.folder))?;
        self.next_control_position += 1;
        let arguments = self.control_arguments(index, position)?;
        self.control[index].set_arguments(arguments);
        self.control[index].start()?;
        let address = self.control_address(index)?;
        for _ in 0..80 {
            sleep(POLL_INTERVAL);
            if self.has_three_voters() && self.is_voter(address) {
                return Ok(());
            }
        }
        Err(FleetError::NotVoter)
    }
}
