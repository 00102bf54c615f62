//! Injection of a fault when the controller reaches the chosen step of an operation.

use crate::event::{Event, ProcessId};
use crate::fault::Fault;
use crate::fault::injection::{InjectedFault, Operation};
use crate::world::World;
use postbarrow_consensus::Write;

/// Duration of an injected fault, in microseconds.
const FAULT_DURATION_US: u64 = 3_000_000;

impl World {
    /// Counts a write or sync of control machine `at` if it leads and the operation is in progress,
    /// and injects the fault if this is the chosen step. Called at every write and sync.
    pub fn inject_at_step(&mut self, at: usize) {
        let Some(injection) = &self.injection else { return };
        let machine = &self.control[at];
        let Some(node) = machine.node.as_ref().filter(|node| node.is_leading()) else { return };
        let consensus = node.consensus();
        let voters_change = consensus.log().config_index() > consensus.commit_index()
            || consensus.members().len() < 3;
        let in_progress = match injection.operation {
            Operation::Plan => consensus.commit_index() < consensus.last_index(),
            Operation::Members => voters_change || !consensus.learners().is_empty(),
            Operation::Seats => voters_change,
            Operation::Snapshot => {
                machine.writes().any(|write| matches!(write, Write::Slot { .. }))
            }
        };
        let Some(injection) = &mut self.injection else { return };
        if !in_progress || injection.injected {
            return;
        }
        if injection.remaining > 0 && injection.operation != Operation::Snapshot {
            injection.remaining -= 1;
            return;
        }
        injection.injected = true;
        let (fault, power_loss_after) = (injection.fault, injection.power_loss_after);
        self.inject_at(at, fault, power_loss_after);
    }

    /// Injects the fault into control machine `at` and schedules its end.
    fn inject_at(&mut self, at: usize, fault: InjectedFault, power_loss_after: u64) {
        self.log_line(ProcessId::Control(at), &format!("fault injected: {fault:?}"));
        match fault {
            InjectedFault::Kill => self.end_control(at, false),
            InjectedFault::Power => self.end_by_power_loss(at, power_loss_after),
            InjectedFault::Freeze => {
                self.frozen.entry(ProcessId::Control(at)).or_default();
                self.schedule(FAULT_DURATION_US, Event::Wake(ProcessId::Control(at)));
            }
            InjectedFault::Cut => {
                self.isolate(at);
                self.schedule(FAULT_DURATION_US, Event::Fault(Fault::Heal));
            }
        }
        if matches!(fault, InjectedFault::Kill | InjectedFault::Power) {
            self.schedule(FAULT_DURATION_US, Event::Start(ProcessId::Control(at)));
        }
    }
}
