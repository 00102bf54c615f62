//! Rolling restarts: graceful shutdowns and starts of processes.

use crate::event::{Event, ProcessId};
use crate::world::World;
use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::traffic::{STOP_UNREADY_MS, STOP_WAIT_MS};
use postbarrow_controller::Input as ControlInput;
use postbarrow_node::Input as DataInput;

/// Interval of the checks whether a process has finished its work, in microseconds.
const POLL_US: u64 = 20_000;

/// Time between the end of a process and its restart, in microseconds.
const RESTART_DELAY_US: u64 = 300_000;

/// Shuts processes down as the programs do: a control process ends once leadership is transferred,
/// a data process once its requests have finished; then it starts again.
impl World {
    /// Requests a graceful shutdown of control process `at`, which restarts afterwards unless the
    /// machine is retired.
    pub fn rolling_restart_control(&mut self, at: usize) {
        let (incarnation, since_us) = (self.control[at].incarnation, self.now_us);
        self.control_input(at, ControlInput::Stop);
        self.schedule(
            POLL_US,
            Event::CheckShutdown { process: ProcessId::Control(at), incarnation, since_us },
        );
    }

    /// Requests a graceful shutdown of data process `at`, which restarts afterwards.
    pub fn rolling_restart_data(&mut self, at: usize) {
        let (incarnation, since_us) = (self.data[at].incarnation, self.now_us);
        self.data_input(at, DataInput::Stop);
        self.schedule(
            STOP_UNREADY_MS * 1_000,
            Event::CheckShutdown { process: ProcessId::Data(at), incarnation, since_us },
        );
    }

    /// Ends a process that shuts down if its work is done or its time is over, and schedules its
    /// restart; otherwise schedules the next check.
    pub fn check_shutdown(&mut self, process: ProcessId, incarnation: u64, since_us: u64) {
        let elapsed_ms = (self.now_us - since_us) / 1_000;
        let (is_same_incarnation, may_end) = match process {
            ProcessId::Control(at) => {
                let machine = &self.control[at];
                let has_departed = machine.node.as_ref().is_some_and(|node| node.has_departed());
                (
                    machine.incarnation == incarnation,
                    has_departed || elapsed_ms >= LEADERSHIP_TRANSFER_MS,
                )
            }
            ProcessId::Data(at) => {
                let machine = &self.data[at];
                let pending = machine.node.as_ref().map_or(0, |node| node.pending_request_count());
                let in_flight = self.requests.values().any(|request| request.is_in_flight(at));
                (
                    machine.incarnation == incarnation,
                    (pending == 0 && !in_flight) || elapsed_ms >= STOP_WAIT_MS,
                )
            }
        };
        match (is_same_incarnation, may_end, process) {
            (false, ..) => {}
            (true, false, _) => {
                self.schedule(POLL_US, Event::CheckShutdown { process, incarnation, since_us })
            }
            (true, true, ProcessId::Control(at)) => {
                self.end_control(at, false);
                if self.control[at].retired_us.is_none() {
                    self.schedule(RESTART_DELAY_US, Event::Start(process));
                }
            }
            (true, true, ProcessId::Data(at)) => {
                self.end_data(at);
                self.schedule(RESTART_DELAY_US, Event::Start(process));
            }
        }
    }

    /// Starts a process unless it runs.
    pub fn start(&mut self, process: ProcessId) {
        match process {
            ProcessId::Control(at) if self.control[at].node.is_none() => self.start_control(at),
            ProcessId::Data(at) if self.data[at].node.is_none() => self.start_data(at),
            _ => {}
        }
    }
}
