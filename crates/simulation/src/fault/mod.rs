//! The kinds of fault that a run may inject.

pub mod injection;

use crate::disk::DiskFault;
use crate::node::endpoint_list::ListFault;

/// The stages of a request right before which a data node can freeze.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Before the node reads the request.
    Arrived,
    /// Before the node learns that it is connected to a target, so before it requests a ticket.
    Connected,
    /// Before the node reads the granted ticket, so before its last check of the lease.
    Granted,
    /// After the decision to forward and before the last check that precedes the first byte.
    Sending,
    /// After the target has run the request and before the node reads the response.
    Responded,
}

/// A disturbance of the cluster or its surroundings. Where a fault names no machine, the run's seed
/// draws it;\ a control machine is drawn with a preference for the leader. `Heal` ends all faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control process ends at once; its disk retains all that was written.
    KillControl,
    /// A control machine loses power: its process ends and unsynced writes may be lost.
    PowerLoss,
    /// The first three control machines lose power at once.
    PowerLossOfAll,
    /// The processes of the first three control machines end at once.
    KillAllControl,
    /// A control machine returns with an empty disk, where the other members can spare it.
    EmptyDisk,
    /// A control machine returns with an empty disk at a new address, where the others can spare
    /// it.
    EmptyDiskAtNewAddress,
    /// A control process is frozen for 0.2 to 6 s and then receives all that arrived meanwhile.
    FreezeControl,
    /// A control machine is partitioned from all other machines, in both directions.
    CutControl,
    /// A control machine is partitioned from the other two, in both directions; data nodes reach
    /// all three.
    SplitControl,
    /// Frames from one control machine to another are lost, in this direction only.
    OneWayCut,
    /// A data process ends at once.
    KillData,
    /// The processes of the first half of the data machines end at once.
    KillManyData,
    /// A data process is frozen for 0.2 to 6 s and then receives all that arrived meanwhile.
    FreezeData,
    /// A data machine is partitioned from all other machines, in both directions.
    CutData,
    /// Every frame takes 30 ms longer.
    SlowLinks,
    /// A tenth of all frames is lost.
    LossyLinks,
    /// A target's process ends; the endpoint list still shows it.
    KillTarget,
    /// A target accepts requests and does not answer in time.
    FreezeTarget,
    /// The endpoint list shows a target as draining, and a new target of its service.
    DrainTarget,
    /// A target's process ends and one of another service takes its address before the endpoint
    /// list shows it.
    ReuseAddress,
    /// A control machine's disk is faulty; a full or stalled one leaves the process running.
    Disk(DiskFault),
    /// Every sync takes 10 to 50 ms.
    SlowDisks,
    /// The next data node that reaches this stage of a one-time request freezes, and wakes after 3
    /// to 8 s, when every bound has passed.
    FreezeAt(Stage),
    /// The platform's endpoint list itself is faulty.
    List(ListFault),
    /// The leader's process ends at once; for measuring how long the others need.
    KillController,
    /// This control machine loses its disk and returns empty at a new address, where the others can
    /// spare it.
    ReplaceControl(usize),
    /// This data process ends at once and starts again at once.
    RestartData(usize),
    /// This control process shuts down gracefully and starts again.
    RollingRestartControl(usize),
    /// This data process shuts down gracefully and starts again.
    RollingRestartData(usize),
    /// Ends all faults: stopped processes start, links carry frames, the endpoint list is correct.
    Heal,
}

/// All faults that `Scenario::everything` draws from, in the order of the draw.
pub const ALL: [Fault; 39] = [
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
