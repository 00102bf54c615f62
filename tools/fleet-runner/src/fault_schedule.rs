//! The fault schedules: which faults are injected, and when each is due.

use crate::cli::Cli;
use crate::deployment::{CONTROL_NODES, Deployment};
use crate::error::FleetError;
use std::fmt::{self, Display, Formatter};
use tools_shared::mix;

/// A fault that can be injected into the fleet, or a change of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A new plan is submitted.
    Plan,
    /// A new plan with many routes is submitted.
    BigPlan,
    /// Two plans with the same base are submitted concurrently.
    Race,
    /// An invalid plan is submitted.
    InvalidPlan,
    /// A target is listed as draining, and replaced.
    Drain,
    /// A target is killed.
    KillTarget,
    /// A target of another service starts at the address of an ended target before the endpoint
    /// list shows the change.
    ReuseAddress,
    /// A data node is killed and started again.
    KillData,
    /// Half of the data nodes are killed and started again.
    KillManyData,
    /// A data node is suspended by SIGSTOP for a while.
    FreezeData,
    /// A data node is ended by SIGTERM and started again.
    RestartData,
    /// The leader is killed and started again.
    KillController,
    /// All control nodes are killed and started again.
    KillAllControl,
    /// The leader is suspended by SIGSTOP for a while.
    FreezeControl,
    /// A control node is ended by SIGTERM and started again.
    RestartControl,
    /// A control node is started again with an empty disk, at another address.
    EmptyControl,
    /// A control node is separated from the other two.
    PartitionControl,
    /// The leader is separated from all other nodes.
    IsolateControl,
    /// A data node is separated from all other nodes.
    IsolateData,
    /// Messages from one control node to another are dropped; the opposite direction works.
    PartitionOneDirection,
    /// A zone with its control node, data nodes and targets is separated from the others.
    IsolateZone,
    /// A target is suspended by SIGSTOP for a while.
    FreezeTarget,
    /// All control nodes in turn are started again with empty disks at other addresses, and a data
    /// node is then restarted with the old addresses as its seeds.
    ReplaceSeeds,
    /// The endpoint list is served slowly.
    ListSlow,
    /// The endpoint list is limited to a few pages per second.
    ListLimited,
    /// The endpoint list responds with errors.
    ListDown,
    /// A control node's disk is full.
    FillDisk,
    /// The wall clocks of a control node and a data node jump.
    JumpClocks,
    /// A step of a rolling restart: the data node at this index is restarted and must be ready
    /// before the next step.
    RestartDataInTurn(usize),
    /// A step of a rolling restart: the control node at this index is restarted.
    RestartControlInTurn(usize),
}

/// Formats the fault's printed name, by which journals and pages refer to it.
impl Display for Fault {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Fault::ReuseAddress => out.write_str("PassAddress"),
            Fault::PartitionControl => out.write_str("SplitCore"),
            Fault::IsolateControl => out.write_str("CutControl"),
            Fault::IsolateData => out.write_str("CutData"),
            Fault::PartitionOneDirection => out.write_str("CutOneWay"),
            Fault::IsolateZone => out.write_str("CutZone"),
            Fault::ReplaceSeeds => out.write_str("SwapSeeds"),
            Fault::RestartDataInTurn(index) => write!(out, "RollData({index})"),
            Fault::RestartControlInTurn(index) => write!(out, "RollControl({index})"),
            other => write!(out, "{other:?}"),
        }
    }
}

/// The faults that the schedule `all` draws from. Their order decides what a seed draws.
const ALL: [Fault; 28] = [
    Fault::Plan,
    Fault::BigPlan,
    Fault::Race,
    Fault::InvalidPlan,
    Fault::Drain,
    Fault::KillTarget,
    Fault::ReuseAddress,
    Fault::KillData,
    Fault::KillManyData,
    Fault::FreezeData,
    Fault::RestartData,
    Fault::KillController,
    Fault::KillAllControl,
    Fault::FreezeControl,
    Fault::RestartControl,
    Fault::EmptyControl,
    Fault::PartitionControl,
    Fault::IsolateControl,
    Fault::IsolateData,
    Fault::PartitionOneDirection,
    Fault::IsolateZone,
    Fault::FreezeTarget,
    Fault::ReplaceSeeds,
    Fault::ListSlow,
    Fault::ListLimited,
    Fault::ListDown,
    Fault::FillDisk,
    Fault::JumpClocks,
];

/// A fault and when it is due.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When the fault is due, as a fraction of the run's length.
    pub due: f64,
    /// The fault to inject.
    pub fault: Fault,
}

impl ScheduledFault {
    fn new((due, fault): (f64, Fault)) -> ScheduledFault {
        ScheduledFault { due, fault }
    }
}

/// Returns the schedule that the command line names. Except for rolling restarts, no fault is due
/// in the last sixth of the run, so that the fleet can recover.
///
/// # Errors
/// When no schedule or no deployment has the name that the command line gives.
pub fn schedule(cli: &Cli) -> Result<Vec<ScheduledFault>, FleetError> {
    match cli.faults.as_str() {
        "none" => Ok(Vec::new()),
        "plain" => Ok(plain()),
        "rolling" => Ok(rolling(Deployment::from_cli(cli)?.data_nodes)),
        "all" => Ok(all(cli)),
        other => Err(FleetError::UnknownSchedule(other.into())),
    }
}

fn plain() -> Vec<ScheduledFault> {
    let faults = [
        (0.08, Fault::Plan),
        (0.18, Fault::Drain),
        (0.30, Fault::KillTarget),
        (0.42, Fault::KillController),
        (0.60, Fault::KillData),
        (0.75, Fault::Plan),
    ];
    faults.map(ScheduledFault::new).to_vec()
}

/// Restarts every data node and every control node in turn, then submits two plans.
fn rolling(data_nodes: usize) -> Vec<ScheduledFault> {
    let faults: Vec<Fault> = (0..data_nodes)
        .map(Fault::RestartDataInTurn)
        .chain((0..CONTROL_NODES).map(Fault::RestartControlInTurn))
        .chain([Fault::Plan, Fault::BigPlan])
        .collect();
    let due = |index: usize| 0.02 + 0.9 * index as f64 / faults.len() as f64;
    faults
        .iter()
        .enumerate()
        .map(|(index, fault)| ScheduledFault::new((due(index), *fault)))
        .collect()
}

/// Draws a fault for every ten seconds of the run; no fault repeats until all others have been
/// drawn.
fn all(cli: &Cli) -> Vec<ScheduledFault> {
    let mut remaining: Vec<Fault> = Vec::new();
    let count = (cli.seconds / 10).max(1);
    let faults = (0..count).map(|index| {
        if remaining.is_empty() {
            remaining = ALL.to_vec();
        }
        let drawn = mix(cli.seed << 16 | index) as usize % remaining.len();
        let due = 0.02 + 0.80 * index as f64 / count as f64;
        ScheduledFault::new((due, remaining.swap_remove(drawn)))
    });
    faults.collect()
}

#[cfg(test)]
mod tests;
