//! A thousand changes occupy no more than the first few hundred, and a member that joins late
//! catches up while changes continue.

use postbarrow_constants::plans::ACCEPTED_PLANS;
use postbarrow_simulation::{Fault, SlowMachine, World};

const CHANGES: u64 = 1_000;
const WINDOW: u64 = 250;
const LOGS: [&str; 2] = ["log-a", "log-b"];
const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
/// No figure of a later window may be above that of the first by more than a twentieth; what is
/// written, and the longest log, by a fifth, for a window has a dozen snapshots or one more.
const LEVEL_PERCENT: u64 = 105;
const UNEVEN_PERCENT: u64 = 120;
const WRITTEN: &str = "written";
const STEP_US: u64 = 5_000;
/// Entries that a follower lacks whose disk syncs thirty times as long.
const NEAR: u64 = 20;

/// A cluster without traffic whose plan changes as fast as it is acknowledged.
struct Run {
    world: World,
    submitted: u64,
    routes: u64,
    /// Between two changes at least.
    pause_us: u64,
    due_us: u64,
}

impl Run {
    fn new(seed: u64, routes: u64) -> Run {
        let mut world = World::new(seed, 1, 3);
        world.quiet = true;
        world.request_pause_us = 0;
        world.run_until(8_000_000);
        let mut run = Run { world, submitted: 0, routes, pause_us: 0, due_us: 0 };
        assert!(run.leader().is_some() && run.world.operator.version.is_some(), "it is in force");
        run.run_ms(1_000);
        run
    }

    fn leader(&self) -> Option<usize> {
        let leads = |machine: &&postbarrow_simulation::ControlMachine| {
            machine.node.as_ref().is_some_and(|node| node.is_leading())
        };
        self.world.control.iter().position(|machine| leads(&machine))
    }

    fn follower(&self) -> usize {
        let leader = self.leader().expect("the cluster has a leader");
        (0..3).find(|at| *at != leader).expect("there are three")
    }

    fn commit(&self, at: usize) -> u64 {
        self.world.control[at].node.as_ref().map_or(0, |node| node.consensus().commit_index())
    }

    fn run_ms(&mut self, for_ms: u64) {
        self.world.run_until(self.world.now_us + for_ms * 1_000);
    }

    /// One step; submits the next change if none is pending.
    fn step(&mut self) {
        if self.world.operator.unsure.is_empty() && self.world.now_us >= self.due_us {
            self.due_us = self.world.now_us + self.pause_us;
            self.submitted += 1;
            self.world.submit_plan(self.routes + self.submitted % 5, false, false);
        }
        self.world.run_until(self.world.now_us + STEP_US);
    }

    /// Starts a member; milliseconds until it is as close to the leader's log as followers usually are.
    fn start_ms(&mut self, at: usize) -> u64 {
        let since_us = self.world.now_us;
        self.world.start_control(at);
        while self.leader().is_none_or(|leader| self.commit(at) + NEAR < self.commit(leader)) {
            self.step();
            assert!(self.world.now_us < since_us + 30_000_000, "it never caught up");
        }
        (self.world.now_us - since_us) / 1_000
    }

    /// Runs until the maximum of accepted plans is retained: a figure can only level off after that.
    fn fill_ledger(&mut self) {
        while self.world.operator.acknowledged <= ACCEPTED_PLANS as u64 {
            self.step();
        }
        let leader = &self.world.control[self.leader().expect("the cluster has a leader")];
        let remembered = leader.node.as_ref().map(|node| node.committed().accepted_plans.len());
        assert_eq!(remembered, Some(ACCEPTED_PLANS));
    }

    fn check(&self) {
        assert!(self.world.ledger.violations.is_empty(), "{:#?}", self.world.ledger.violations);
    }
}

/// The largest of each in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    changes: u64,
    state_bytes: u64,
    snapshot_bytes: u64,
    log_bytes: u64,
    start_bytes: u64,
    start_ms: u64,
    written_bytes: u64,
    entry_bytes: u64,
}

fn window(run: &mut Run, until: u64) -> Figures {
    let first = run.world.operator.acknowledged;
    let follower = run.follower();
    let disk = run.world.control[follower].disk.clone();
    let mut figures = Figures { changes: until, ..Figures::default() };
    let before_bytes = disk.written_bytes();
    while run.world.operator.acknowledged < until {
        run.step();
        let longest = |names: &[&str]| names.iter().map(|name| disk.length(name) as u64).max();
        figures.snapshot_bytes = figures.snapshot_bytes.max(longest(&SLOTS).unwrap_or(0));
        figures.log_bytes = figures.log_bytes.max(longest(&LOGS).unwrap_or(0));
        figures.start_bytes = figures.start_bytes.max(disk.total_bytes());
    }
    let changes = run.world.operator.acknowledged - first;
    figures.written_bytes = (disk.written_bytes() - before_bytes) / changes;
    let leader = run.world.control[run.leader().unwrap()].node.as_ref().unwrap();
    figures.state_bytes = rmp_serde::to_vec(leader.committed()).unwrap().len() as u64;
    let log = leader.consensus().log();
    let entries = log.range(log.last_index().saturating_sub(200), log.last_index());
    figures.entry_bytes = entries.iter().map(|entry| entry.size() as u64).sum::<u64>() / 200;
    run.world.end_control(follower, false);
    run.run_ms(100);
    figures.start_ms = run.start_ms(follower);
    figures
}

impl Figures {
    /// Bytes a change that a window writes more if it contains one more snapshot: the snapshot and
    /// the log behind it. Since changes are small, a window has one or two.
    fn one_snapshot_more(&self) -> u64 {
        (self.snapshot_bytes + self.log_bytes) / WINDOW
    }
}

/// One figure, and how many hundredths of the first window's it may be in later ones.
struct Kind {
    name: &'static str,
    max_percent: u64,
    figure: fn(&Figures) -> u64,
}

const KINDS: [Kind; 6] = [
    Kind { name: "state", max_percent: LEVEL_PERCENT, figure: |one| one.state_bytes },
    Kind { name: "snapshot", max_percent: LEVEL_PERCENT, figure: |one| one.snapshot_bytes },
    Kind { name: "longest log", max_percent: UNEVEN_PERCENT, figure: |one| one.log_bytes },
    Kind { name: "read at a start", max_percent: UNEVEN_PERCENT, figure: |one| one.start_bytes },
    Kind { name: WRITTEN, max_percent: UNEVEN_PERCENT, figure: |one| one.written_bytes },
    Kind { name: "log an entry", max_percent: LEVEL_PERCENT, figure: |one| one.entry_bytes },
];

#[test]
fn no_figure_grows_with_the_number_of_changes() {
    let mut run = Run::new(1, 3);
    run.fill_ledger();
    let before = run.world.operator.acknowledged;
    let windows: Vec<Figures> =
        (1..=CHANGES / WINDOW).map(|at| window(&mut run, before + at * WINDOW)).collect();
    windows.iter().for_each(|figures| println!("{figures:?}"));
    for kind in KINDS {
        let first = (kind.figure)(&windows[0]);
        for later in &windows[1..] {
            let figure = (kind.figure)(later);
            let one_more = if kind.name == WRITTEN { windows[0].one_snapshot_more() } else { 0 };
            let max = first * kind.max_percent / 100 + one_more;
            let (name, changes) = (kind.name, later.changes);
            assert!(figure <= max, "{name}: {figure} at {changes} changes, {first} before");
        }
    }
    assert!(windows.iter().all(|one| one.start_ms < 2_000), "a start takes longer");
    run.check();
}

#[test]
fn a_late_member_catches_up_while_changes_go_on() {
    for seed in 1..=2 {
        let mut run = Run::new(seed, 40);
        run.pause_us = 50_000;
        let slow = run.follower();
        run.world.slow = Some(SlowMachine::new(slow, 462_500, 3_300_000, 30));
        for _ in 0..2 {
            run.world.end_control(slow, true);
            let until_us = run.world.now_us + 6_000_000;
            while run.world.now_us < until_us {
                run.step();
            }
            let took_ms = run.start_ms(slow);
            println!("seed {seed}: restarted, caught up after {took_ms} ms");
        }
        run.world.inject(Fault::ReplaceControl(slow));
        let since_us = run.world.now_us;
        while !joined(&run, slow) {
            run.step();
            assert!(run.world.now_us < since_us + 60_000_000, "seed {seed}: it never joined");
        }
        let took_ms = (run.world.now_us - since_us) / 1_000;
        println!("seed {seed}: replaced, a voter after {took_ms} ms; {} changes", run.submitted);
        run.check();
    }
}

/// Whether the id of its new disk is among the voters, as it knows itself.
fn joined(run: &Run, at: usize) -> bool {
    let Some(node) = &run.world.control[at].node else { return false };
    let log = node.consensus();
    log.members().iter().any(|member| member.id == log.id()) && log.members().len() == 3
}
