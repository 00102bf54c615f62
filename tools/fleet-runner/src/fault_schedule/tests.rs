//! Tests of `fault_schedule`.

use super::*;
use gumdrop::Options;

fn fault_names(arguments: &[&str]) -> Vec<String> {
    let cli = Cli::parse_args_default(arguments).expect("the command line is valid");
    let schedule = schedule(&cli).expect("the schedule exists");
    schedule.iter().map(|scheduled| scheduled.fault.to_string()).collect()
}

#[test]
fn a_seed_draws_the_same_faults_as_in_earlier_releases() {
    let drawn = fault_names(&["--faults", "all", "--seed", "3", "--seconds", "300"]);
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
    let names = fault_names(&["--faults", "rolling"]);
    let data = (0..11).map(|index| format!("RollData({index})"));
    let control = (0..3).map(|index| format!("RollControl({index})"));
    let plans = ["Plan", "BigPlan"].map(String::from);
    assert_eq!(names, data.chain(control).chain(plans).collect::<Vec<_>>());
}
