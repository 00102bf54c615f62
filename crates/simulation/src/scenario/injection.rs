//! Runs with a fault at one chosen step of a plan, a membership change or a snapshot.

use crate::fault::Fault;
use crate::fault::injection::{InjectedFault, Injection, Operation};
use crate::scenario::{RunResult, finish_run, read_back_plan, recover};
use crate::world::World;

/// A run with a fault at one of the controller's writes or syncs during an operation.
#[derive(Clone, Copy, Debug)]
pub struct InjectionPoint {
    /// The run's seed.
    pub seed: u64,
    /// The operation during which the fault is injected.
    pub operation: Operation,
    /// The kind of fault that is injected.
    pub fault: InjectedFault,
    /// The number of the operation's write or sync at which the fault is injected, counted from 0.
    /// With `Operation::Snapshot` it is always injected at the first one, whatever this number.
    /// With `InjectedFault::Power` this is also the number of disk operations that are still
    /// carried out.
    pub at: u64,
}

/// Number of additional routes of the plan that `Operation::Plan` submits.
const ADDITIONAL_ROUTES: u64 = 6_000;

impl InjectionPoint {
    /// Runs the simulation; returns `None` if the operation had fewer writes and syncs, so that no
    /// fault was injected.
    pub fn run(&self) -> Option<RunResult> {
        let mut world = World::new(self.seed, 5, 12);
        world.request_pause_us = 50_000;
        world.run_until(6_000_000);
        world.plans_paused = true;
        let InjectionPoint { operation, fault, at, .. } = *self;
        world.injection = Some(Injection {
            operation,
            fault,
            remaining: at,
            power_loss_after: at,
            injected: false,
        });
        match operation {
            Operation::Plan => world.submit_plan(ADDITIONAL_ROUTES, false, false),
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
        read_back_plan(&mut world, &mut result, "");
        if operation == Operation::Plan && world.operator.acknowledged < 2 {
            result.violations.push("the plan was never acknowledged".into());
        }
        let lost = at as usize % 3;
        world.operator.shown_plan = None;
        world.inject(Fault::ReplaceControl(lost));
        recover(&mut world);
        read_back_plan(&mut world, &mut result, " after a disk was lost");
        finish_run(&mut world, &mut result);
        injected.then_some(result)
    }
}
