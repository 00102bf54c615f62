//! Injects the fault when the controller reaches the chosen step.

use crate::event::{Event, ProcessId};
use crate::fault::Fault;
use crate::fault::injection::{InjectedFault, Operation};
use crate::world::World;
use postbarrow_consensus::Write;

const AWAY_US: u64 = 3_000_000;

impl World {
    /// Called at every write and sync of a control machine: injects the fault if its step has come.
    pub fn inject_at_step(&mut self, at: usize) {
        let Some(injection) = &self.injection else { return };
        let machine = &self.control[at];
        let Some(node) = machine.node.as_ref().filter(|node| node.is_leading()) else { return };
        let log = node.consensus();
        let seats = log.log().config_index() > log.commit_index() || log.members().len() < 3;
        let busy = match injection.operation {
            Operation::Plan => log.commit_index() < log.last_index(),
            Operation::Members => seats || !log.learners().is_empty(),
            Operation::Seats => seats,
            Operation::Snapshot => {
                machine.writes().any(|write| matches!(write, Write::Slot { .. }))
            }
        };
        let Some(injection) = &mut self.injection else { return };
        if !busy || injection.injected {
            return;
        }
        if injection.remaining > 0 && injection.operation != Operation::Snapshot {
            injection.remaining -= 1;
            return;
        }
        injection.injected = true;
        let (fault, fuse) = (injection.fault, injection.fuse);
        self.inject_at(at, fault, fuse);
    }

    fn inject_at(&mut self, at: usize, fault: InjectedFault, fuse: u64) {
        self.log_line(ProcessId::Control(at), &format!("fault injected: {fault:?}"));
        match fault {
            InjectedFault::Kill => self.end_control(at, false),
            InjectedFault::Power => self.end_with_fuse(at, fuse),
            InjectedFault::Freeze => {
                self.frozen.entry(ProcessId::Control(at)).or_default();
                self.after(AWAY_US, Event::Wake(ProcessId::Control(at)));
            }
            InjectedFault::Cut => {
                self.isolate(at);
                self.after(AWAY_US, Event::Fault(Fault::Heal));
            }
        }
        if matches!(fault, InjectedFault::Kill | InjectedFault::Power) {
            self.after(AWAY_US, Event::Start(ProcessId::Control(at)));
        }
    }
}
