use crate::Cli;
use crate::spec::Spec;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Plan,
    BigPlan,
    Race,
    InvalidPlan,
    Drain,
    KillTarget,
    PassAddress,
    KillData,
    KillManyData,
    FreezeData,
    RestartData,
    KillController,
    KillAllControl,
    FreezeControl,
    RestartControl,
    EmptyControl,
    SplitCore,
    CutControl,
    CutData,
    CutOneWay,
    /// A zone with its core machine, data nodes and targets.
    CutZone,
    FreezeTarget,
    SwapSeeds,
    ListSlow,
    ListLimited,
    ListDown,
    FillDisk,
    JumpClocks,
    /// In turn, by SIGTERM, each ready again before the next.
    RollData(usize),
    RollControl(usize),
}

const ALL: [Fault; 28] = [
    Fault::Plan,
    Fault::BigPlan,
    Fault::Race,
    Fault::InvalidPlan,
    Fault::Drain,
    Fault::KillTarget,
    Fault::PassAddress,
    Fault::KillData,
    Fault::KillManyData,
    Fault::FreezeData,
    Fault::RestartData,
    Fault::KillController,
    Fault::KillAllControl,
    Fault::FreezeControl,
    Fault::RestartControl,
    Fault::EmptyControl,
    Fault::SplitCore,
    Fault::CutControl,
    Fault::CutData,
    Fault::CutOneWay,
    Fault::CutZone,
    Fault::FreezeTarget,
    Fault::SwapSeeds,
    Fault::ListSlow,
    Fault::ListLimited,
    Fault::ListDown,
    Fault::FillDisk,
    Fault::JumpClocks,
];

pub fn mix(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// When, as a share of the run, and what. The last sixth stays quiet, for recovery.
pub fn schedule(cli: &Cli) -> Result<Vec<(f64, Fault)>, String> {
    match cli.faults.as_str() {
        "none" => Ok(Vec::new()),
        "plain" => Ok(vec![
            (0.08, Fault::Plan),
            (0.18, Fault::Drain),
            (0.30, Fault::KillTarget),
            (0.42, Fault::KillController),
            (0.60, Fault::KillData),
            (0.75, Fault::Plan),
        ]),
        "rolling" => {
            let nodes = Spec::of(cli)?.data_nodes;
            let all: Vec<Fault> = (0..nodes)
                .map(Fault::RollData)
                .chain((0..3).map(Fault::RollControl))
                .chain([Fault::Plan, Fault::BigPlan])
                .collect();
            let share = |at: usize| 0.02 + 0.9 * at as f64 / all.len() as f64;
            Ok(all.iter().enumerate().map(|(at, fault)| (share(at), *fault)).collect())
        }
        "all" => {
            let mut bag: Vec<Fault> = Vec::new();
            let count = (cli.seconds / 10).max(1);
            let rows = (0..count).map(|at| {
                if bag.is_empty() {
                    bag = ALL.to_vec();
                }
                let drawn = mix(cli.seed << 16 | at) as usize % bag.len();
                (0.02 + 0.80 * at as f64 / count as f64, bag.swap_remove(drawn))
            });
            Ok(rows.collect())
        }
        other => Err(format!("{other}: none, plain, rolling or all")),
    }
}
