//! Fault injection at one chosen step of an operation of the controller.

/// The operation of the controller during which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A plan of many batches is appended and committed, from its Begin to its End.
    Plan,
    /// A machine with an empty disk becomes a learner and replaces the lost voter.
    Members,
    /// The change of voters alone, as one part of `Members`.
    Seats,
    /// A snapshot is written to one of the disk's two slots.
    Snapshot,
}

/// A fault of the controller at the chosen step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The controller's process ends, and restarts after three seconds.
    Kill,
    /// The controller's machine loses power, and its process restarts after three seconds.
    Power,
    /// The controller's process is frozen for three seconds.
    Freeze,
    /// The controller's machine is partitioned from all other machines for three seconds.
    Cut,
}

/// All operations, in the order in which `simulate --steps` takes them.
pub const OPERATIONS: [Operation; 4] =
    [Operation::Plan, Operation::Members, Operation::Snapshot, Operation::Seats];

/// All faults that can be injected at a step, in the order in which `simulate --steps` takes them.
pub const INJECTED_FAULTS: [InjectedFault; 4] =
    [InjectedFault::Kill, InjectedFault::Power, InjectedFault::Freeze, InjectedFault::Cut];

/// A fault to inject once, at a chosen write or sync of the controller during an operation.
pub(crate) struct Injection {
    pub(crate) operation: Operation,
    pub(crate) fault: InjectedFault,
    /// Number of the operation's writes and syncs still to come before the fault is injected; not
    /// used with `Operation::Snapshot`, where the fault comes at the first one.
    pub(crate) remaining: u64,
    /// For `InjectedFault::Power`, the number of disk operations of the pending writes that are
    /// carried out before the power is lost.
    pub(crate) power_loss_after: u64,
    /// Whether the fault has been injected.
    pub(crate) injected: bool,
}
