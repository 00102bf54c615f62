//! Runs in which the controller is struck at one chosen step of a plan, member change or slot.

use crate::event::{Event, ProcessId};
use crate::fault::Fault;
use crate::scenario::{RunResult, finish, recover};
use crate::world::World;
use postbarrow_consensus::Write;

/// What the controller is about when it is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A plan of many batches, from Begin to the commit of its End.
    Plan,
    /// A lost disk's machine learns and takes the lost one's place.
    Members,
    /// Of that, only the change of seats itself.
    Seats,
    /// A slot is written.
    Snapshot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    Kill,
    Power,
    Freeze,
    Cut,
}

pub const OPERATIONS: [Operation; 4] =
    [Operation::Plan, Operation::Members, Operation::Snapshot, Operation::Seats];
pub const INJECTED_FAULTS: [InjectedFault; 4] =
    [InjectedFault::Kill, InjectedFault::Power, InjectedFault::Freeze, InjectedFault::Cut];

/// The controller is struck at this one of its writes and syncs, counted from the beginning.
#[derive(Clone, Copy, Debug)]
pub struct InjectionPoint {
    pub seed: u64,
    pub operation: Operation,
    pub fault: InjectedFault,
    pub at: u64,
}

pub(crate) struct Injection {
    operation: Operation,
    fault: InjectedFault,
    remaining: u64,
    fuse: u64,
    injected: bool,
}

const ROUTES: u64 = 6_000;
const AWAY_US: u64 = 3_000_000;

impl InjectionPoint {
    /// The run's end, or None if the controller had fewer steps to take.
    pub fn run(&self) -> Option<RunResult> {
        let mut world = World::new(self.seed, 5, 12);
        world.request_pause_us = 50_000;
        world.run_until(6_000_000);
        world.quiet = true;
        let InjectionPoint { operation, fault, at, .. } = *self;
        world.injection =
            Some(Injection { operation, fault, remaining: at, fuse: at, injected: false });
        match operation {
            Operation::Plan => world.submit_plan(ROUTES, false, false),
            Operation::Members | Operation::Seats => {
                let leader = world.leader().unwrap_or(0);
                world.inject(Fault::ReplaceControl((leader + 1) % 3));
            }
            Operation::Snapshot => {}
        }
        world.run_until(13_000_000);
        let injected = world.injection.take().is_some_and(|injection| injection.injected);
        world.inject(Fault::Heal);
        let mut result = RunResult { recovery_ms: recover(&mut world), ..RunResult::default() };
        read_back(&mut world, &mut result, "");
        if operation == Operation::Plan && world.operator.acknowledged < 2 {
            result.violations.push("the plan was never acknowledged".into());
        }
        let lost = at as usize % 3;
        world.operator.shown = None;
        world.inject(Fault::ReplaceControl(lost));
        recover(&mut world);
        read_back(&mut world, &mut result, " after a disk was lost");
        finish(&mut world, &mut result);
        injected.then_some(result)
    }
}

pub(crate) fn read_back(world: &mut World, result: &mut RunResult, when: &str) {
    let until_us = world.now_us + 6_000_000;
    world.run_until(until_us);
    world.show();
    world.run_until(until_us + 2_000_000);
    let last = world.operator.version.as_ref().and_then(|name| world.operator.texts.get(name));
    if last.is_none() || world.operator.shown.as_ref() != last {
        result.violations.push(format!("the plan acknowledged last does not read back{when}"));
    }
}

impl World {
    pub fn leader(&self) -> Option<usize> {
        self.control
            .iter()
            .position(|machine| machine.node.as_ref().is_some_and(|node| node.is_leading()))
    }

    /// Called at every write and sync of a control machine: strikes it if its turn has come.
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
        self.log_line(ProcessId::Control(at), &format!("is struck: {fault:?}"));
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
