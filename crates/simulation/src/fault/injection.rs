//! Fault injection at one chosen step of an operation of the controller.

/// What the controller is doing when the fault comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A plan of many batches, from Begin to the commit of its End.
    Plan,
    /// A machine with an empty disk becomes a learner and replaces the lost voter.
    Members,
    /// Of that, only the change of voters itself.
    Seats,
    /// A snapshot is written to a slot.
    Snapshot,
}

/// What happens to the controller at the chosen step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Its process ends; it starts again after three seconds.
    Kill,
    /// Its machine loses power; it starts again after three seconds.
    Power,
    /// Its process is frozen for three seconds.
    Freeze,
    /// Its machine is partitioned from all others for three seconds.
    Cut,
}

/// All operations, in the order of `simulate --steps`.
pub const OPERATIONS: [Operation; 4] =
    [Operation::Plan, Operation::Members, Operation::Snapshot, Operation::Seats];

/// All faults that can be injected, in the order of `simulate --steps`.
pub const INJECTED_FAULTS: [InjectedFault; 4] =
    [InjectedFault::Kill, InjectedFault::Power, InjectedFault::Freeze, InjectedFault::Cut];

pub(crate) struct Injection {
    pub(crate) operation: Operation,
    pub(crate) fault: InjectedFault,
    pub(crate) remaining: u64,
    pub(crate) fuse: u64,
    pub(crate) injected: bool,
}
