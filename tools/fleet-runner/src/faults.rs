use crate::Cli;
use crate::fleet::Fleet;
use crate::plans::{change_plan, race};
use crate::spec::{Spec, plan};
use crate::targets::{leave, pass_address, some_target};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
    /// In turn, by SIGTERM, each ready again before the next.
    RollData(usize),
    RollControl(usize),
}

const ALL: [Fault; 16] = [
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
];

#[derive(Default)]
pub struct Told {
    pub left: Vec<(String, u128)>,
    pub inForceMs: Vec<u64>,
    pub violations: Vec<String>,
    pub plan: String,
}

pub fn wall_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

fn mix(seed: u64) -> u64 {
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
            let nodes = Spec::of(cli)?.dataNodes;
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
            let count = (cli.seconds / 7).max(1);
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

pub fn run(cli: &Cli, fleet: &mut Fleet, schedule: &[(f64, Fault)]) -> Told {
    let mut told = Told { plan: plan("v1", None, cli.routes), ..Told::default() };
    let start = Instant::now();
    for (at, (share, fault)) in schedule.iter().enumerate() {
        let due = Duration::from_secs_f64(share * cli.seconds as f64);
        sleep(due.saturating_sub(start.elapsed()));
        println!("fleet: {:.1} s: {fault:?}", start.elapsed().as_secs_f64());
        let seed = mix(cli.seed ^ (at as u64) << 32);
        if let Err(error) = bring(*fault, seed, fleet, &mut told, cli) {
            told.violations.push(format!("{fault:?}: {error}"));
        }
    }
    told
}

fn bring(
    fault: Fault,
    seed: u64,
    fleet: &mut Fleet,
    told: &mut Told,
    cli: &Cli,
) -> Result<(), String> {
    match fault {
        Fault::Plan => change_plan(fleet, told, cli.routes),
        Fault::BigPlan => change_plan(fleet, told, 4_000),
        Fault::Race => race(fleet, told, cli),
        Fault::InvalidPlan => {
            let status = fleet.submit("{\"version\": 7}").map(|told| told.status);
            if status == Some(400) { Ok(()) } else { Err(format!("status {status:?}")) }
        }
        Fault::Drain => {
            let instance = some_target(fleet, seed, None)?;
            if let Some(row) = fleet.list.rows.get_mut(&instance) {
                row.draining = true;
            }
            fleet.list.write()?;
            told.left.push((instance.clone(), wall_ms()));
            sleep(Duration::from_millis(3_000));
            leave(fleet, &instance)
        }
        Fault::KillTarget => {
            let instance = some_target(fleet, seed, None)?;
            if let Some(target) = fleet.targets.get_mut(&instance) {
                target.kill();
            }
            sleep(Duration::from_millis(1_500));
            leave(fleet, &instance)
        }
        Fault::PassAddress => pass_address(fleet, seed),
        Fault::KillData => again_data(fleet, &[seed as usize], libc::SIGKILL, 800),
        Fault::KillManyData => {
            let some: Vec<usize> =
                (0..fleet.data.len() / 2).map(|at| seed as usize % 7 + at).collect();
            again_data(fleet, &some, libc::SIGKILL, 500)
        }
        Fault::RestartData => again_data(fleet, &[seed as usize], libc::SIGTERM, 0),
        Fault::RollData(at) => {
            again_data(fleet, &[at], libc::SIGTERM, 0)?;
            fleet.wait_ready(10_000).map(|_| ())
        }
        Fault::RollControl(at) => again_control(fleet, &[at], libc::SIGTERM),
        Fault::FreezeData => {
            let at = seed as usize % fleet.data.len();
            fleet.data[at].signal(libc::SIGSTOP);
            sleep(Duration::from_millis(1_000 + seed % 3_000));
            fleet.data[at].signal(libc::SIGCONT);
            Ok(())
        }
        Fault::KillController => again_control(fleet, &[controller(fleet)], libc::SIGKILL),
        Fault::KillAllControl => again_control(fleet, &[0, 1, 2], libc::SIGKILL),
        Fault::RestartControl => again_control(fleet, &[seed as usize % 3], libc::SIGTERM),
        Fault::FreezeControl => {
            let at = controller(fleet);
            fleet.control[at].signal(libc::SIGSTOP);
            sleep(Duration::from_millis(500 + seed % 4_000));
            fleet.control[at].signal(libc::SIGCONT);
            Ok(())
        }
        Fault::EmptyControl => {
            if !three_voters(fleet) {
                println!("fleet: three voters are not at hand, no disk is emptied");
                return Ok(());
            }
            let at = seed as usize % 3;
            fleet.control[at].kill();
            let folder = format!("{}/control-{at}", fleet.folder);
            std::fs::remove_dir_all(folder).map_err(|error| error.to_string())?;
            let place = 3 + (seed % 40) as u16;
            let words = fleet.control_words(at, place);
            fleet.control[at].with_words(words);
            fleet.control[at].begin()?;
            sleep(Duration::from_millis(8_000));
            Ok(())
        }
    }
}

/// What an operator waits for before touching another core machine.
fn three_voters(fleet: &Fleet) -> bool {
    let members = fleet.get("/members").map(|(_, text)| text).unwrap_or_default();
    let silent = members
        .split("\"silentMs\":")
        .skip(1)
        .filter_map(|rest| rest.split(',').next()?.parse::<u64>().ok());
    members.matches("\"voter\"").count() == 2 && silent.max().is_some_and(|most| most < 1_000)
}

fn controller(fleet: &Fleet) -> usize {
    let status = fleet.get("/status").map(|(_, text)| text).unwrap_or_default();
    let named = |words: &[String]| {
        let at = words.iter().position(|word| word == "--address");
        at.and_then(|at| words.get(at + 1))
            .is_some_and(|address| status.contains(&format!("\"controller\":\"{address}\"")))
    };
    fleet.control.iter().position(|process| named(process.words())).unwrap_or(0)
}

fn again_data(fleet: &mut Fleet, which: &[usize], signal: i32, pauseMs: u64) -> Result<(), String> {
    let count = fleet.data.len();
    for at in which {
        fleet.data[at % count].signal(signal);
    }
    for at in which {
        fleet.data[at % count].reap();
    }
    sleep(Duration::from_millis(pauseMs));
    which.iter().try_for_each(|at| fleet.data[at % count].begin())
}

fn again_control(fleet: &mut Fleet, which: &[usize], signal: i32) -> Result<(), String> {
    for at in which {
        fleet.control[*at].signal(signal);
        fleet.control[*at].reap();
    }
    sleep(Duration::from_millis(700));
    which.iter().try_for_each(|at| fleet.control[*at].begin())
}
