use crate::Cli;
use crate::fleet::Fleet;
use crate::plans::{change_plan, race};
use crate::schedule::{Fault, mix};
use crate::spec::{ZONES, plan};
use crate::targets::{leave, pass_address, some_target};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Told {
    pub left: Vec<(String, u128)>,
    pub in_force_ms: Vec<u64>,
    pub violations: Vec<String>,
    pub plan: String,
    pub drawn: usize,
}

pub fn wall_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

pub fn run(cli: &Cli, fleet: &mut Fleet, schedule: &[(f64, Fault)]) -> Told {
    let mut told = Told { plan: plan("v1", None, cli.routes), ..Told::default() };
    let start = Instant::now();
    for (at, (share, fault)) in schedule.iter().enumerate() {
        let due = Duration::from_secs_f64(share * cli.seconds as f64);
        sleep(due.saturating_sub(start.elapsed()));
        println!("fleet: {:.1} s: {fault:?}", start.elapsed().as_secs_f64());
        let seed = mix(cli.seed ^ (at as u64) << 32);
        told.drawn += 1;
        if let Err(error) = bring(*fault, seed, fleet, &mut told, cli) {
            told.violations.push(format!("{fault:?}: not brought about, or not survived: {error}"));
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
        Fault::SplitCore => fleet.split_core(seed as usize % 3),
        Fault::CutControl => fleet.cut_control(controller(fleet)),
        Fault::CutData => fleet.cut_data(seed as usize),
        Fault::CutOneWay => fleet.cut_one_way(seed as usize),
        Fault::CutZone => fleet.cut_zone(ZONES[seed as usize % ZONES.len()]),
        Fault::FreezeTarget => {
            let instance = some_target(fleet, seed, None)?;
            let target = fleet.targets.get(&instance).ok_or("no such target")?;
            target.signal(libc::SIGSTOP);
            sleep(Duration::from_millis(3_000));
            target.signal(libc::SIGCONT);
            Ok(())
        }
        Fault::SwapSeeds => fleet.swap_seeds(),
        Fault::ListSlow => fleet.trouble("slow 250", 4_000),
        Fault::ListLimited => fleet.trouble("rate 4", 6_000),
        Fault::ListDown => fleet.trouble("down", 6_000),
        Fault::FillDisk => fleet.fill_disk(seed as usize % 3),
        Fault::JumpClocks => fleet.jump_clocks(seed),
        Fault::EmptyControl => fleet.empty_control(seed as usize % 3),
    }
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

fn again_data(
    fleet: &mut Fleet,
    which: &[usize],
    signal: i32,
    pause_ms: u64,
) -> Result<(), String> {
    let count = fleet.data.len();
    for at in which {
        fleet.data[at % count].signal(signal);
    }
    for at in which {
        fleet.data[at % count].reap();
    }
    sleep(Duration::from_millis(pause_ms));
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
