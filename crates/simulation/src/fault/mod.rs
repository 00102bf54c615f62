//! The kinds of fault that a run may inject.

pub mod injection;

use crate::disk::DiskFault;
use crate::node::endpoint_list::ListFault;

/// A stage of a one-time request right before which its data node can freeze.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Before the node reads the request.
    Arrived,
    /// Before the node handles its connection to a target, and so before it requests a ticket.
    Connected,
    /// Before the node reads the granted ticket, and so before its last check of the lease.
    Granted,
    /// After the node decided to forward the request, and before the last check that precedes the
    /// first byte.
    Sending,
    /// After the target has run the request and before the node reads the response.
    Responded,
}

/// A fault of the cluster or its environment. Where a variant names no machine, the machine is
/// drawn from the run's random numbers. A drawn control machine is the leader, if there is one,
/// with a probability of at least 60 %; only the sender of `OneWayCut` is drawn without this
/// preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control process ends immediately; its disk retains all that was written, synced or not.
    KillControl,
    /// A control machine loses power: its process ends and unsynced writes may be lost.
    PowerLoss,
    /// The first three control machines lose power at the same time.
    PowerLossOfAll,
    /// The processes of the first three control machines end at the same time.
    KillAllControl,
    /// A control machine loses power and restarts with an empty disk. Injected only if each of the
    /// two others runs, is not frozen and is a member, and both know the same three members.
    EmptyDisk,
    /// A control machine restarts with an empty disk at a new address, on the same condition as
    /// `EmptyDisk`.
    EmptyDiskAtNewAddress,
    /// A control process is frozen for 0.2 to 6 s and then handles all events that arrived
    /// meanwhile.
    FreezeControl,
    /// A control machine is partitioned from all other machines, in both directions.
    CutControl,
    /// A control machine is partitioned from the other two control machines, in both directions;
    /// data nodes reach all three.
    SplitControl,
    /// Frames from one control machine to another are lost, while those in the other direction
    /// arrive.
    OneWayCut,
    /// A data process ends immediately.
    KillData,
    /// The processes of the first half of the data machines end at the same time.
    KillManyData,
    /// A data process is frozen for 0.2 to 6 s and then handles all events that arrived meanwhile.
    FreezeData,
    /// A data machine is partitioned from all other machines, in both directions.
    CutData,
    /// Every frame takes 30 ms longer.
    SlowLinks,
    /// Each frame is lost with a probability of 10 %.
    LossyLinks,
    /// A target's process ends; the endpoint list still shows it.
    KillTarget,
    /// A target runs the requests that reach it without answering in time, and new connections to
    /// it time out.
    FreezeTarget,
    /// The endpoint list shows one target as draining and a new target of the same service.
    DrainTarget,
    /// A target's process ends and a target of another service takes its address, while the
    /// endpoint list still shows the ended target.
    ReuseAddress,
    /// The disk of a control machine has a fault; a full or stalled disk does not end the process.
    Disk(DiskFault),
    /// Every sync of a control machine takes 10 to 50 ms.
    SlowDisks,
    /// The next data node that reaches this stage of a one-time request freezes right before it,
    /// and wakes after 3 to 8 s, when every time limit has passed.
    FreezeAt(Stage),
    /// The platform's endpoint list has this fault.
    List(ListFault),
    /// The process of the leader, or of a drawn control machine if there is none, ends immediately;
    /// used to measure the time until full service.
    KillController,
    /// The control machine of this index restarts with an empty disk at a new address, on the same
    /// condition as `EmptyDisk`.
    ReplaceControl(usize),
    /// The data process of this index ends and restarts immediately.
    RestartData(usize),
    /// The control process of this index shuts down gracefully and restarts.
    RollingRestartControl(usize),
    /// The data process of this index shuts down gracefully and restarts.
    RollingRestartData(usize),
    /// All faults end: stopped processes start, frozen ones wake, links carry frames, and the
    /// endpoint list is correct.
    Heal,
}

/// The faults that `Scenario::everything` draws from. A seed draws an index into this array, so
/// that its order is part of what a seed determines.
pub const ALL_FAULTS: [Fault; 39] = [
    Fault::KillControl,
    Fault::PowerLoss,
    Fault::PowerLossOfAll,
    Fault::KillAllControl,
    Fault::EmptyDisk,
    Fault::EmptyDiskAtNewAddress,
    Fault::FreezeControl,
    Fault::CutControl,
    Fault::SplitControl,
    Fault::OneWayCut,
    Fault::KillData,
    Fault::KillManyData,
    Fault::FreezeData,
    Fault::CutData,
    Fault::SlowLinks,
    Fault::LossyLinks,
    Fault::KillTarget,
    Fault::FreezeTarget,
    Fault::DrainTarget,
    Fault::ReuseAddress,
    Fault::Disk(DiskFault::SyncFails),
    Fault::Disk(DiskFault::WriteFails),
    Fault::Disk(DiskFault::Full),
    Fault::Disk(DiskFault::Stalls),
    Fault::SlowDisks,
    Fault::FreezeAt(Stage::Arrived),
    Fault::FreezeAt(Stage::Connected),
    Fault::FreezeAt(Stage::Granted),
    Fault::FreezeAt(Stage::Sending),
    Fault::FreezeAt(Stage::Responded),
    Fault::List(ListFault::Slow),
    Fault::List(ListFault::Limited),
    Fault::List(ListFault::Down),
    Fault::List(ListFault::Empty),
    Fault::List(ListFault::Truncated),
    Fault::List(ListFault::Garbled),
    Fault::List(ListFault::CursorLoop),
    Fault::List(ListFault::ShiftingRows),
    Fault::List(ListFault::LostPages),
];
