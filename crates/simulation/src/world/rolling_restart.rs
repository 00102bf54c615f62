//! Rolling restarts: graceful shutdown and start of one process after another.

use crate::event::{Event, ProcessId};
use crate::world::World;
use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::traffic::{STOP_UNREADY_MS, STOP_WAIT_MS};
use postbarrow_controller::Input as ControlInput;
use postbarrow_node::Input as DataInput;

const LOOK_US: u64 = 20_000;

const AWAY_US: u64 = 300_000;

/// As the programs do: leadership is transferred or requests finish, then the process ends and
/// starts again.
impl World {
    /// Asks control process `at` to shut down gracefully; it starts again unless it is retired.
    pub fn rolling_restart_control(&mut self, at: usize) {
        let (incarnation, since_us) = (self.control[at].incarnation, self.now_us);
        self.control_input(at, ControlInput::Stop);
        self.after(
            LOOK_US,
            Event::CheckShutdown { process: ProcessId::Control(at), incarnation, since_us },
        );
    }

    /// Asks data process `at` to shut down gracefully; it starts again.
    pub fn rolling_restart_data(&mut self, at: usize) {
        let (incarnation, since_us) = (self.data[at].incarnation, self.now_us);
        self.data_input(at, DataInput::Stop);
        self.after(
            STOP_UNREADY_MS * 1_000,
            Event::CheckShutdown { process: ProcessId::Data(at), incarnation, since_us },
        );
    }

    /// Ends a process that shuts down once its work is done or its time is over; otherwise looks
    /// again later.
    pub fn check_shutdown(&mut self, process: ProcessId, incarnation: u64, since_us: u64) {
        let past_ms = (self.now_us - since_us) / 1_000;
        let (here, done) = match process {
            ProcessId::Control(at) => {
                let machine = &self.control[at];
                let transferred = machine.node.as_ref().is_some_and(|node| node.has_departed());
                (
                    machine.incarnation == incarnation,
                    transferred || past_ms >= LEADERSHIP_TRANSFER_MS,
                )
            }
            ProcessId::Data(at) => {
                let machine = &self.data[at];
                let pending = machine.node.as_ref().map_or(0, |node| node.pending_requests());
                let in_flight = self.requests.values().any(|request| request.is_in_flight(at));
                (
                    machine.incarnation == incarnation,
                    (pending == 0 && !in_flight) || past_ms >= STOP_WAIT_MS,
                )
            }
        };
        match (here, done, process) {
            (false, ..) => {}
            (true, false, _) => {
                self.after(LOOK_US, Event::CheckShutdown { process, incarnation, since_us })
            }
            (true, true, ProcessId::Control(at)) => {
                self.end_control(at, false);
                if self.control[at].retired_us.is_none() {
                    self.after(AWAY_US, Event::Start(process));
                }
            }
            (true, true, ProcessId::Data(at)) => {
                self.end_data(at);
                self.after(AWAY_US, Event::Start(process));
            }
        }
    }

    /// Starts a process that is down.
    pub fn start(&mut self, process: ProcessId) {
        match process {
            ProcessId::Control(at) if self.control[at].node.is_none() => self.start_control(at),
            ProcessId::Data(at) if self.data[at].node.is_none() => self.start_data(at),
            _ => {}
        }
    }
}
