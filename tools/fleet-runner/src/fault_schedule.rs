//! Which faults are injected, and when.

use crate::cli::Cli;
use crate::deployment::{CONTROL_NODES, Deployment};
use crate::error::FleetError;
use std::fmt::{self, Display, Formatter};
use tools_shared::mix;

/// A disturbance that is brought about on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A new plan is submitted.
    Plan,
    /// A new plan with many routes is submitted.
    BigPlan,
    /// Two plans on one base are submitted at once.
    Race,
    /// An invalid plan is submitted.
    InvalidPlan,
    /// A target is listed as draining, and replaced.
    Drain,
    /// A target is killed.
    KillTarget,
    /// A target of another service takes an address before the list shows it.
    ReuseAddress,
    /// A data node is killed and started again.
    KillData,
    /// Half of the data nodes are killed and started again.
    KillManyData,
    /// A data node is stopped for a while.
    FreezeData,
    /// A data node is restarted.
    RestartData,
    /// The leader is killed and started again.
    KillController,
    /// All control nodes are killed and started again.
    KillAllControl,
    /// The leader is stopped for a while.
    FreezeControl,
    /// A control node is restarted.
    RestartControl,
    /// A control node comes back with an empty disk.
    EmptyControl,
    /// A control node is separated from the other two.
    PartitionControl,
    /// The leader is separated from all nodes.
    IsolateControl,
    /// A data node is separated from all nodes.
    IsolateData,
    /// What one control node sends does not reach another.
    PartitionOneDirection,
    /// A zone with its control node, data nodes and targets is separated from the others.
    IsolateZone,
    /// A target is stopped for a while.
    FreezeTarget,
    /// All control nodes come back empty at other addresses.
    ReplaceSeeds,
    /// The endpoint list is slow.
    ListSlow,
    /// The endpoint list serves few pages a second.
    ListLimited,
    /// The endpoint list fails.
    ListDown,
    /// A control node's disk is full.
    FillDisk,
    /// Clocks jump.
    JumpClocks,
    /// A step of a rolling restart: this data node, which has to be ready before the next.
    RestartDataInTurn(usize),
    /// A step of a rolling restart: this control node.
    RestartControlInTurn(usize),
}

/// The name in what is printed; journals and pages name faults by it.
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
            Fault::RestartDataInTurn(at) => write!(out, "RollData({at})"),
            Fault::RestartControlInTurn(at) => write!(out, "RollControl({at})"),
            other => write!(out, "{other:?}"),
        }
    }
}

/// The faults from which the schedule `all` draws, in the order that its seeds count on.
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
    /// A fraction of the run's length.
    pub due: f64,
    /// What is injected.
    pub fault: Fault,
}

impl ScheduledFault {
    fn new((due, fault): (f64, Fault)) -> ScheduledFault {
        ScheduledFault { due, fault }
    }
}

/// The schedule that the command line names. It leaves the end of the run to recovery, a sixth of
/// it but for rolling restarts.
///
/// # Errors
/// When no schedule or no deployment has the name that the command line gives.
pub fn schedule(cli: &Cli) -> Result<Vec<ScheduledFault>, FleetError> {
    match cli.faults.as_str() {
        "none" => Ok(Vec::new()),
        "plain" => Ok(plain()),
        "rolling" => Ok(rolling(Deployment::of(cli)?.data_nodes)),
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

/// Every node in turn, and two plans.
fn rolling(data_nodes: usize) -> Vec<ScheduledFault> {
    let all: Vec<Fault> = (0..data_nodes)
        .map(Fault::RestartDataInTurn)
        .chain((0..CONTROL_NODES).map(Fault::RestartControlInTurn))
        .chain([Fault::Plan, Fault::BigPlan])
        .collect();
    let due = |at: usize| 0.02 + 0.9 * at as f64 / all.len() as f64;
    all.iter().enumerate().map(|(at, fault)| ScheduledFault::new((due(at), *fault))).collect()
}

/// A fault every ten seconds, drawn without repeats until each had its turn.
fn all(cli: &Cli) -> Vec<ScheduledFault> {
    let mut remaining: Vec<Fault> = Vec::new();
    let count = (cli.seconds / 10).max(1);
    let faults = (0..count).map(|at| {
        if remaining.is_empty() {
            remaining = ALL.to_vec();
        }
        let drawn = mix(cli.seed << 16 | at) as usize % remaining.len();
        let due = 0.02 + 0.80 * at as f64 / count as f64;
        ScheduledFault::new((due, remaining.swap_remove(drawn)))
    });
    faults.collect()
}

#[cfg(test)]
mod tests;
