//! Tests of `fault_schedule`.

use super::*;
use gumdrop::Options;

fn names(arguments: &[&str]) -> Vec<String> {
    let cli = Cli::parse_args_default(arguments).expect("the command line is right");
    let schedule = schedule(&cli).expect("the schedule has a name");
    schedule.iter().map(|scheduled| scheduled.fault.to_string()).collect()
}

#[test]
fn a_seed_draws_the_same_faults_as_in_earlier_releases() {
    let drawn = names(&["--faults", "all", "--seed", "3", "--seconds", "300"]);
    let expected = [
        "KillData",
        "ListSlow",
        "KillManyData",
        "ListDown",
        "RestartControl",
        "CutOneWay",
        "BigPlan",
        "CutControl",
        "CutData",
        "RestartData",
        "SwapSeeds",
        "PassAddress",
        "InvalidPlan",
        "KillTarget",
        "Plan",
        "SplitCore",
        "Drain",
        "KillController",
        "KillAllControl",
        "JumpClocks",
        "ListLimited",
        "EmptyControl",
        "FillDisk",
        "CutZone",
        "FreezeData",
        "FreezeTarget",
        "Race",
        "FreezeControl",
        "RestartControl",
        "FreezeData",
    ];
    assert_eq!(drawn, expected);
}

#[test]
fn a_rolling_schedule_restarts_every_node_in_turn_before_its_plans() {
    let names = names(&["--faults", "rolling"]);
    let data = (0..11).map(|at| format!("RollData({at})"));
    let control = (0..3).map(|at| format!("RollControl({at})"));
    let plans = ["Plan", "BigPlan"].map(String::from);
    assert_eq!(names, data.chain(control).chain(plans).collect::<Vec<_>>());
}
