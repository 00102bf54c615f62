//! Each fault, injected into simulated clusters over fixed seeds. The program `simulate` runs any
//! number of seeds.

use postbarrow_simulation::{ALL_FAULTS, DiskFault, Fault, ListFault, RunResult, Scenario, Stage};

/// How long owners of locks depart before all faults are healed, in milliseconds.
const LOCK_RUN_MS: u64 = 30_000;

/// Runs a scenario; asserts that it has no violations and that enough requests and calls ran.
fn run_checked(name: &str, scenario: &Scenario) -> RunResult {
    let result = scenario.run();
    let seed = scenario.seed;
    assert!(
        result.violations.is_empty(),
        "{name}, seed {seed}: violations: {:#?}",
        result.violations
    );
    assert!(result.outcomes.ran > 100, "{name}, seed {seed}: too few requests ran");
    assert!(
        result.forwards > 100 && result.calls > 50,
        "{name}, seed {seed}: too few forwards or calls"
    );
    result
}

fn run_fault(fault: Fault) {
    for seed in 1..=3 {
        run_checked(&format!("{fault:?}"), &Scenario::new(seed, &[fault], 4));
    }
}

/// In each run some clients depart at any point of their request. No guarantee breaks, and no
/// request is forwarded after its client departed (checked by `World::check_forward`).
#[test]
fn departing_clients_break_no_guarantee_amid_all_faults() {
    let runs = (1..=8).map(|seed| run_checked("departing clients", &Scenario::everything(seed)));
    let departed: usize = runs.map(|result| result.outcomes.departed).sum();
    assert!(departed > 100, "only {departed} clients departed");
}

/// Callers depart during the release of their lock and start it again under the same name; the data
/// node of the release, or a control node, freezes at any step of it for 0.5 to 5 s. No lock has two
/// owners (checked by `World`).
#[test]
fn a_release_of_a_departed_owner_breaks_no_guarantee_while_processes_freeze() {
    let (mut departures, mut confirmations) = (0, 0);
    for seed in 1..=8 {
        let scenario = Scenario {
            owners_depart: true,
            script: vec![(LOCK_RUN_MS, Fault::Heal)],
            ..Scenario::new(seed, &[], 0)
        };
        let result = run_checked("departing lock owners", &scenario);
        departures += result.release_departures;
        confirmations += result.confirmed_releases;
    }
    assert!(departures > 40, "only {departures} owners departed");
    assert!(confirmations > 0, "no release was confirmed");
}

macro_rules! faults {
    ($($name:ident: $fault:expr,)*) => {
        $(#[test] fn $name() { run_fault($fault); })*
        const TESTED: &[Fault] = &[$($fault),*];
    };
}

faults! {
    a_control_node_is_killed: Fault::KillControl,
    power_is_lost_right_after_an_acknowledgement: Fault::PowerLoss,
    power_is_lost_everywhere: Fault::PowerLossOfAll,
    all_control_nodes_are_killed: Fault::KillAllControl,
    a_disk_is_lost_and_comes_back_empty: Fault::EmptyDisk,
    a_control_machine_returns_empty_at_a_new_address: Fault::EmptyDiskAtNewAddress,
    a_control_node_freezes_and_wakes: Fault::FreezeControl,
    a_control_node_is_isolated: Fault::CutControl,
    the_control_nodes_are_split: Fault::SplitControl,
    a_link_between_control_nodes_is_cut_one_way: Fault::OneWayCut,
    a_data_node_is_killed: Fault::KillData,
    many_data_nodes_are_killed: Fault::KillManyData,
    a_data_node_freezes_and_wakes: Fault::FreezeData,
    a_data_node_is_isolated: Fault::CutData,
    links_are_slow: Fault::SlowLinks,
    links_lose_frames: Fault::LossyLinks,
    a_target_vanishes: Fault::KillTarget,
    a_target_hangs: Fault::FreezeTarget,
    a_target_is_drained_and_removed: Fault::DrainTarget,
    an_address_is_reused_by_another_service: Fault::ReuseAddress,
    a_sync_fails: Fault::Disk(DiskFault::SyncFails),
    a_write_fails_halfway: Fault::Disk(DiskFault::WriteFails),
    a_disk_is_full: Fault::Disk(DiskFault::Full),
    a_disk_stalls: Fault::Disk(DiskFault::Stalls),
    every_sync_is_slow: Fault::SlowDisks,
    a_node_freezes_before_it_reads_a_request: Fault::FreezeAt(Stage::Arrived),
    a_node_freezes_before_it_requests_a_ticket: Fault::FreezeAt(Stage::Connected),
    a_node_freezes_with_a_granted_ticket: Fault::FreezeAt(Stage::Granted),
    a_node_freezes_before_the_first_byte: Fault::FreezeAt(Stage::Sending),
    a_node_freezes_before_it_reads_the_response: Fault::FreezeAt(Stage::Responded),
    the_endpoint_list_is_slow: Fault::List(ListFault::Slow),
    the_endpoint_list_limits_its_rate: Fault::List(ListFault::Limited),
    the_endpoint_list_is_down: Fault::List(ListFault::Down),
    the_endpoint_list_is_empty_once: Fault::List(ListFault::Empty),
    the_endpoint_list_is_truncated_once: Fault::List(ListFault::Truncated),
    the_endpoint_list_is_garbled: Fault::List(ListFault::Garbled),
    the_endpoint_lists_cursors_loop: Fault::List(ListFault::CursorLoop),
    rows_shift_between_pages: Fault::List(ListFault::ShiftingRows),
    pages_are_lost: Fault::List(ListFault::LostPages),
}

#[test]
fn every_fault_has_a_test() {
    assert_eq!(TESTED, ALL_FAULTS);
}

/// A member with a full disk loses its vote until there is space again, but its process never ends.
#[test]
fn no_process_ends_because_its_disk_is_full() {
    for seed in 1..=3 {
        let result =
            run_checked("full disk", &Scenario::new(seed, &[Fault::Disk(DiskFault::Full)], 4));
        assert_eq!(result.disk_failures, 0, "seed {seed}");
    }
}

#[test]
fn new_processes_join_by_old_seeds_after_all_seed_machines_are_replaced() {
    for seed in 1..=3 {
        let mut scenario = Scenario::new(seed, &ALL_FAULTS, 0);
        scenario.script = vec![
            (500, Fault::ReplaceControl(0)),
            (9_000, Fault::ReplaceControl(1)),
            (9_000, Fault::ReplaceControl(2)),
            (9_000, Fault::RestartData(3)),
        ];
        let result = run_checked("seeds replaced", &scenario);
        assert_eq!(result.members.len(), 3, "seed {seed}: members {:?}", result.members);
        let old = ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"];
        let remaining = result.members.iter().filter(|member| old.contains(&member.as_str()));
        assert_eq!(
            remaining.count(),
            0,
            "seed {seed}: old members remain among {:?}",
            result.members
        );
    }
}

/// A learner that is lost just before it would become a voter must not count in a majority of four.
#[test]
fn a_disk_lost_twice_in_a_row_leaves_a_majority() {
    for seed in 1..=3 {
        let mut scenario = Scenario::new(seed, &ALL_FAULTS, 0);
        let replacements = [500, 3_800].map(|pause_ms| (pause_ms, Fault::ReplaceControl(0)));
        scenario.script = replacements.to_vec();
        run_checked("disk lost twice", &scenario);
    }
}

#[test]
fn a_rolling_restart_of_all_processes_drops_and_sheds_nothing() {
    for seed in 1..=6 {
        let mut scenario = Scenario::new(seed, &ALL_FAULTS, 0);
        scenario.lost_per_mille = 0;
        let data = (0..scenario.data_nodes).map(Fault::RollingRestartData);
        let control = [0, 1, 2, 0, 1, 2].map(Fault::RollingRestartControl);
        scenario.script = data.chain(control).map(|fault| (2_500, fault)).collect();
        let result = run_checked("rolling restart", &scenario);
        assert_eq!((result.outcomes.not_run, result.outcomes.unknown), (0, 0), "seed {seed}");
    }
}

/// The programs use no wall clock, since its time may be set.
#[test]
fn no_source_reads_a_clock_that_can_be_set() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut folders = vec![root.join("crates"), root.join("programs")];
    let mut file_count = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = std::fs::read_to_string(&path).unwrap();
                file_count += 1;
                let wall_clock = ["System", "Time"].concat();
                assert!(!text.contains(&wall_clock), "{} reads the wall clock", path.display());
            }
        }
    }
    assert!(file_count > 80, "only {file_count} files were read");
}

#[test]
fn all_faults_together_in_random_order_break_no_guarantee() {
    let mut totals = [0; 4];
    let mut snapshots = 0;
    for seed in 1..=12 {
        let result = run_checked("all faults", &Scenario::everything(seed));
        snapshots += result.snapshots;
        totals[0] += result.outcomes.not_run;
        totals[1] += result.outcomes.unknown;
        totals[2] += result.plans as usize;
        totals[3] += result.refusals as usize;
    }
    assert!(snapshots > 60, "only {snapshots} snapshots were written");
    assert!(
        totals.iter().all(|count| *count > 0),
        "one of not run, unknown, plans and refusals never occurred: {totals:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let mut scenario = Scenario::everything(77);
    scenario.log = true;
    let (first, second) = (scenario.run(), scenario.run());
    assert_eq!(first.digest, second.digest);
    assert_eq!(first.log, second.log);
    scenario.seed = 78;
    assert_ne!(first.digest, scenario.run().digest);
}

#[test]
fn nothing_is_lost_or_late_without_faults() {
    let mut scenario = Scenario::new(5, &ALL_FAULTS, 0);
    scenario.lost_per_mille = 0;
    let result = run_checked("without faults", &scenario);
    assert_eq!((result.outcomes.not_run, result.outcomes.unknown), (0, 0));
}
