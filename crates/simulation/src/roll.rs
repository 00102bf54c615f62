//! Planned stops and starts of machines.

use crate::event::{Event, Who};
use crate::world::World;
use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::traffic::{STOP_UNREADY_MS, STOP_WAIT_MS};
use postbarrow_controller::Input as ControlInput;
use postbarrow_node::Input as DataInput;

const LOOK_US: u64 = 20_000;
const AWAY_US: u64 = 300_000;

/// Planned stops, as the programs do them: hand over or finish, then end, then begin again.
impl World {
    pub fn roll_control(&mut self, at: usize) {
        let (life, since_us) = (self.control[at].life, self.now_us);
        self.control_input(at, ControlInput::Stop);
        self.after(LOOK_US, Event::Leave { who: Who::Control(at), life, since_us });
    }

    pub fn roll_data(&mut self, at: usize) {
        let (life, since_us) = (self.data[at].life, self.now_us);
        self.data_input(at, DataInput::Stop);
        self.after(STOP_UNREADY_MS * 1_000, Event::Leave { who: Who::Data(at), life, since_us });
    }

    pub fn leave(&mut self, who: Who, life: u64, since_us: u64) {
        let past_ms = (self.now_us - since_us) / 1_000;
        let (here, done) = match who {
            Who::Control(at) => {
                let machine = &self.control[at];
                let handed = machine.node.as_ref().is_some_and(|node| node.has_departed());
                (machine.life == life, handed || past_ms >= LEADERSHIP_TRANSFER_MS)
            }
            Who::Data(at) => {
                let machine = &self.data[at];
                let open = machine.node.as_ref().map_or(0, |node| node.pending_requests());
                let at_work = self.requests.values().any(|request| request.is_at_work(at));
                (machine.life == life, (open == 0 && !at_work) || past_ms >= STOP_WAIT_MS)
            }
        };
        match (here, done, who) {
            (false, ..) => {}
            (true, false, _) => self.after(LOOK_US, Event::Leave { who, life, since_us }),
            (true, true, Who::Control(at)) => {
                self.end_control(at, false);
                if self.control[at].retired_us.is_none() {
                    self.after(AWAY_US, Event::Start(who));
                }
            }
            (true, true, Who::Data(at)) => {
                self.end_data(at);
                self.after(AWAY_US, Event::Start(who));
            }
        }
    }

    pub fn start(&mut self, who: Who) {
        match who {
            Who::Control(at) if self.control[at].node.is_none() => self.start_control(at),
            Who::Data(at) if self.data[at].node.is_none() => self.start_data(at),
            _ => {}
        }
    }
}
