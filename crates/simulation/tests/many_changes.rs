//! A thousand changes of the plan occupy no more space than the first few hundred, and a member
//! that joins late catches up while changes continue.

use postbarrow_constants::plans::ACCEPTED_PLANS_MAX;
use postbarrow_simulation::{Fault, SlowMachine, World};

/// Number of changes that are measured, in windows.
const CHANGES: u64 = 1_000;
/// Number of changes in a window.
const WINDOW_CHANGES: u64 = 250;
const LOGS: [&str; 2] = ["log-a", "log-b"];
const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
/// Maximum of a later window's figure, in percent of the first window's.
const STEADY_MAX_PERCENT: u64 = 105;
/// The same maximum for the bytes written, the log and the bytes read at a start. These vary more,
/// because a window contains two snapshots of a member or three.
const VARYING_MAX_PERCENT: u64 = 120;
const WRITTEN: &str = "written";
const STEP_US: u64 = 5_000;
/// Number of entries by which a follower lags whose disk takes thirty times as long to sync.
const USUAL_LAG: u64 = 20;

/// A cluster without traffic whose plan changes as fast as it is acknowledged.
struct Run {
    world: World,
    /// Number of changes submitted.
    submitted: u64,
    /// Minimum number of routes in each plan.
    routes: u64,
    /// Minimum time between two changes.
    pause_us: u64,
    /// The earliest time of the next change.
    next_change_us: u64,
}

impl Run {
    fn new(seed: u64, routes: u64) -> Run {
        let mut world = World::new(seed, 1, 3);
        world.plans_paused = true;
        world.request_pause_us = 0;
        world.run_until(8_000_000);
        let mut run = Run { world, submitted: 0, routes, pause_us: 0, next_change_us: 0 };
        assert!(
            run.leader().is_some() && run.world.operator.version.is_some(),
            "the cluster has no leader or no plan in force"
        );
        run.run_ms(1_000);
        run
    }

    /// Returns the index of the control machine that leads, if any.
    fn leader(&self) -> Option<usize> {
        let is_leading = |machine: &&postbarrow_simulation::ControlMachine| {
            machine.node.as_ref().is_some_and(|node| node.is_leading())
        };
        self.world.control.iter().position(|machine| is_leading(&machine))
    }

    /// Returns the index of a control machine that does not lead.
    fn follower(&self) -> usize {
        let leader = self.leader().expect("the cluster has a leader");
        (0..3)
            .find(|index| *index != leader)
            .expect("one of the three control machines is not the leader")
    }

    /// Returns the commit index of a control machine; 0 if its process has ended.
    fn commit(&self, index: usize) -> u64 {
        self.world.control[index].node.as_ref().map_or(0, |node| node.consensus().commit_index())
    }

    fn run_ms(&mut self, duration_ms: u64) {
        self.world.run_until(self.world.now_us + duration_ms * 1_000);
    }

    /// Runs one step, and submits the next change if none is pending and its time has come.
    fn step(&mut self) {
        if self.world.operator.possibly_in_force.is_empty()
            && self.world.now_us >= self.next_change_us
        {
            self.next_change_us = self.world.now_us + self.pause_us;
            self.submitted += 1;
            self.world.submit_plan(self.routes + self.submitted % 5, false, false);
        }
        self.world.run_until(self.world.now_us + STEP_US);
    }

    /// Starts a member; returns the milliseconds until it lags behind the leader's log no more than
    /// followers usually do.
    fn start_and_catch_up_ms(&mut self, index: usize) -> u64 {
        let since_us = self.world.now_us;
        self.world.start_control(index);
        while self
            .leader()
            .is_none_or(|leader| self.commit(index) + USUAL_LAG < self.commit(leader))
        {
            self.step();
            assert!(
                self.world.now_us < since_us + 30_000_000,
                "the member did not catch up within 30 s"
            );
        }
        (self.world.now_us - since_us) / 1_000
    }

    /// Runs until the maximum number of accepted plans is retained. Figures can only level off
    /// after that.
    fn fill_accepted_plans(&mut self) {
        while self.world.operator.acknowledged <= ACCEPTED_PLANS_MAX as u64 {
            self.step();
        }
        let leader = &self.world.control[self.leader().expect("the cluster has a leader")];
        let retained = leader.node.as_ref().map(|node| node.committed().accepted_plans.len());
        assert_eq!(retained, Some(ACCEPTED_PLANS_MAX));
    }

    fn check(&self) {
        assert!(self.world.ledger.violations.is_empty(), "{:#?}", self.world.ledger.violations);
    }
}

/// The measurements of one window: the largest of each size, and averages of what is written.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Number of acknowledged changes at the end of the window.
    changes: u64,
    state_bytes: u64,
    snapshot_bytes: u64,
    log_bytes: u64,
    /// Bytes of all files, which a start reads.
    start_bytes: u64,
    /// Milliseconds in which a restarted follower catches up.
    catch_up_ms: u64,
    /// Bytes that a follower writes for a change, on average.
    written_bytes: u64,
    /// Bytes of an entry in the leader's log, on average.
    entry_bytes: u64,
}

/// Runs until this number of changes is acknowledged, and measures a follower and the leader.
fn measure_window(run: &mut Run, until: u64) -> Figures {
    let changes_before = run.world.operator.acknowledged;
    let follower = run.follower();
    let disk = run.world.control[follower].disk.clone();
    let mut figures = Figures { changes: until, ..Figures::default() };
    let written_before = disk.written_bytes();
    while run.world.operator.acknowledged < until {
        run.step();
        let longest = |names: &[&str]| names.iter().map(|name| disk.length(name) as u64).max();
        figures.snapshot_bytes = figures.snapshot_bytes.max(longest(&SLOTS).unwrap_or(0));
        figures.log_bytes = figures.log_bytes.max(longest(&LOGS).unwrap_or(0));
        figures.start_bytes = figures.start_bytes.max(disk.total_bytes());
    }
    let changes = run.world.operator.acknowledged - changes_before;
    figures.written_bytes = (disk.written_bytes() - written_before) / changes;
    let leader = run.world.control[run.leader().unwrap()].node.as_ref().unwrap();
    figures.state_bytes = rmp_serde::to_vec(leader.committed()).unwrap().len() as u64;
    let log = leader.consensus().log();
    let entries = log.range(log.last_index().saturating_sub(200), log.last_index());
    figures.entry_bytes = entries.iter().map(|entry| entry.size_bytes() as u64).sum::<u64>() / 200;
    run.world.end_control(follower, false);
    run.run_ms(100);
    figures.catch_up_ms = run.start_and_catch_up_ms(follower);
    figures
}

impl Figures {
    /// Returns the bytes, for each change of the window, that one more snapshot writes: the
    /// snapshot and the log behind it. Since changes are small, a window has only two snapshots of
    /// a member or three, so that one more is a large part of what is written.
    fn extra_snapshot_bytes(&self) -> u64 {
        (self.snapshot_bytes + self.log_bytes) / WINDOW_CHANGES
    }
}

/// The limit of one figure: its maximum in later windows in percent of that in the first.
struct FigureLimit {
    name: &'static str,
    max_percent: u64,
    figure: fn(&Figures) -> u64,
}

const FIGURE_LIMITS: [FigureLimit; 6] = [
    FigureLimit {
        name: "state",
        max_percent: STEADY_MAX_PERCENT,
        figure: |figures| figures.state_bytes,
    },
    FigureLimit {
        name: "snapshot",
        max_percent: STEADY_MAX_PERCENT,
        figure: |figures| figures.snapshot_bytes,
    },
    FigureLimit {
        name: "longest log",
        max_percent: VARYING_MAX_PERCENT,
        figure: |figures| figures.log_bytes,
    },
    FigureLimit {
        name: "read at start",
        max_percent: VARYING_MAX_PERCENT,
        figure: |figures| figures.start_bytes,
    },
    FigureLimit {
        name: WRITTEN,
        max_percent: VARYING_MAX_PERCENT,
        figure: |figures| figures.written_bytes,
    },
    FigureLimit {
        name: "bytes of an entry",
        max_percent: STEADY_MAX_PERCENT,
        figure: |figures| figures.entry_bytes,
    },
];

#[test]
fn no_figure_grows_with_the_number_of_changes() {
    let mut run = Run::new(1, 3);
    run.fill_accepted_plans();
    let before = run.world.operator.acknowledged;
    let windows: Vec<Figures> = (1..=CHANGES / WINDOW_CHANGES)
        .map(|window| measure_window(&mut run, before + window * WINDOW_CHANGES))
        .collect();
    windows.iter().for_each(|figures| println!("{figures:?}"));
    for limit in FIGURE_LIMITS {
        let first = (limit.figure)(&windows[0]);
        for later in &windows[1..] {
            let figure = (limit.figure)(later);
            let extra = if limit.name == WRITTEN { windows[0].extra_snapshot_bytes() } else { 0 };
            let max = first * limit.max_percent / 100 + extra;
            let (name, changes) = (limit.name, later.changes);
            assert!(
                figure <= max,
                "{name}: {figure} after {changes} changes, {first} in the first window"
            );
        }
    }
    assert!(
        windows.iter().all(|figures| figures.catch_up_ms < 2_000),
        "a restarted member caught up late"
    );
    run.check();
}

#[test]
fn a_member_that_joins_late_catches_up_while_changes_continue() {
    for seed in 1..=2 {
        let mut run = Run::new(seed, 40);
        run.pause_us = 50_000;
        let slow = run.follower();
        run.world.slow_machine = Some(SlowMachine::new(slow, 462_500, 3_300_000, 30));
        for _ in 0..2 {
            run.world.end_control(slow, true);
            let until_us = run.world.now_us + 6_000_000;
            while run.world.now_us < until_us {
                run.step();
            }
            let took_ms = run.start_and_catch_up_ms(slow);
            println!("seed {seed}: restarted, caught up after {took_ms} ms");
        }
        run.world.inject(Fault::ReplaceControl(slow));
        let since_us = run.world.now_us;
        while !has_joined(&run, slow) {
            run.step();
            assert!(
                run.world.now_us < since_us + 60_000_000,
                "seed {seed}: the new machine did not join within 60 s"
            );
        }
        let took_ms = (run.world.now_us - since_us) / 1_000;
        println!("seed {seed}: replaced, a voter after {took_ms} ms; {} changes", run.submitted);
        run.check();
    }
}

/// Returns whether a machine's own log has three voters, one of them with the id of its new disk.
fn has_joined(run: &Run, index: usize) -> bool {
    let Some(node) = &run.world.control[index].node else { return false };
    let log = node.consensus();
    log.members().iter().any(|member| member.id == log.id()) && log.members().len() == 3
}
