//! The kinds of fault, and at which moments each may strike.

use crate::disk::DiskFault;
use crate::list::ListFault;

/// Between these, a node can stand still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Arrived,
    Connected,
    /// The ticket's response is there, the last look at the lease is not done.
    Granted,
    /// The flow said 'pass'; the gate before the first byte is not asked.
    Sending,
    /// The target has run it, the response is not read.
    Responded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillControl,
    PowerLoss,
    PowerLossOfAll,
    KillAllControl,
    EmptyDisk,
    EmptyDiskAtNewAddress,
    FreezeControl,
    CutControl,
    SplitControl,
    OneWayCut,
    KillData,
    KillManyData,
    FreezeData,
    CutData,
    SlowLinks,
    LossyLinks,
    KillTarget,
    FreezeTarget,
    DrainTarget,
    ReuseAddress,
    /// A control machine's disk is in trouble; a full or stalled one leaves the process alive.
    Disk(DiskFault),
    /// Every sync takes 10 to 50 ms.
    SlowDisks,
    /// A data node freezes at this step of a one-time request, and wakes after every bound has passed.
    FreezeAt(Stage),
    /// The platform's list itself is in trouble.
    List(ListFault),
    /// The controller itself, for measuring how long the others need.
    KillController,
    /// This core machine's disk is lost and it comes back empty at a new address.
    ReplaceControl(usize),
    RestartData(usize),
    /// A planned stop and start of this process.
    RollingRestartControl(usize),
    RollingRestartData(usize),
    Heal,
}

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
