//! The kinds of fault, and at which moments each may strike.

use crate::disk::DiskTrouble;
use crate::list::Trouble;

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
    EmptyDiskElsewhere,
    FreezeControl,
    CutControl,
    SplitCore,
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
    PassAddress,
    /// A control machine's disk is in trouble; a full or stalled one leaves the process alive.
    Disk(DiskTrouble),
    /// Every sync takes 10 to 50 ms.
    SlowDisks,
    /// A data node freezes at this step of a one-time request, and wakes after every bound has passed.
    FreezeAt(Stage),
    /// The platform's list itself is in trouble.
    List(Trouble),
    /// The controller itself, for measuring how long the others need.
    KillController,
    /// This core machine's disk is lost and it comes back empty at a new address.
    SwapCore(usize),
    RestartData(usize),
    /// A planned stop and start of this process.
    RollControl(usize),
    RollData(usize),
    Heal,
}

pub const ALL: [Fault; 39] = [
    Fault::KillControl,
    Fault::PowerLoss,
    Fault::PowerLossOfAll,
    Fault::KillAllControl,
    Fault::EmptyDisk,
    Fault::EmptyDiskElsewhere,
    Fault::FreezeControl,
    Fault::CutControl,
    Fault::SplitCore,
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
    Fault::PassAddress,
    Fault::Disk(DiskTrouble::SyncFails),
    Fault::Disk(DiskTrouble::WriteFails),
    Fault::Disk(DiskTrouble::Full),
    Fault::Disk(DiskTrouble::Stalls),
    Fault::SlowDisks,
    Fault::FreezeAt(Stage::Arrived),
    Fault::FreezeAt(Stage::Connected),
    Fault::FreezeAt(Stage::Granted),
    Fault::FreezeAt(Stage::Sending),
    Fault::FreezeAt(Stage::Responded),
    Fault::List(Trouble::Slow),
    Fault::List(Trouble::Limited),
    Fault::List(Trouble::Down),
    Fault::List(Trouble::Empty),
    Fault::List(Trouble::Less),
    Fault::List(Trouble::Garbled),
    Fault::List(Trouble::Round),
    Fault::List(Trouble::Shifts),
    Fault::List(Trouble::Lost),
];
