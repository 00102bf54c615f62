//! Each line of what fails, brought about in whole clusters over fixed seeds; `simulate` runs any number.

use postbarrow_simulation::{ALL, DiskTrouble, Ended, Fault, Scenario, Stage, Trouble};

fn check(name: &str, scenario: &Scenario) -> Ended {
    let ended = scenario.run();
    let seed = scenario.seed;
    assert!(ended.violations.is_empty(), "{name}, seed {seed}: {:#?}", ended.violations);
    assert!(ended.told.ran > 100, "{name}, seed {seed}: hardly anything ran");
    assert!(ended.passes > 100 && ended.calls > 50, "{name}, seed {seed}: hardly tried");
    ended
}

fn each(fault: Fault) {
    for seed in 1..=3 {
        check(&format!("{fault:?}"), &Scenario::new(seed, &[fault], 4));
    }
}

/// Each run has clients that leave at any point of their request: what they leave behind breaks no
/// promise, and nothing is passed on for them (`World::check_pass`).
#[test]
fn clients_leave_amid_every_trouble() {
    let runs = (1..=8).map(|seed| check("clients leave", &Scenario::everything(seed)));
    let left: usize = runs.map(|ended| ended.told.left).sum();
    assert!(left > 100, "only {left} clients left");
}

macro_rules! faults {
    ($($name:ident: $fault:expr,)*) => {
        $(#[test] fn $name() { each($fault); })*
        const NAMED: &[Fault] = &[$($fault),*];
    };
}

faults! {
    a_control_node_is_killed: Fault::KillControl,
    power_is_lost_right_after_yes: Fault::PowerLoss,
    power_is_lost_everywhere: Fault::PowerLossOfAll,
    all_control_nodes_are_killed: Fault::KillAllControl,
    a_disk_is_lost_and_comes_back_empty: Fault::EmptyDisk,
    a_core_machine_returns_empty_at_a_new_address: Fault::EmptyDiskElsewhere,
    a_control_node_freezes_and_wakes: Fault::FreezeControl,
    a_control_node_is_cut_off: Fault::CutControl,
    the_core_is_split: Fault::SplitCore,
    a_link_of_the_core_is_cut_one_way: Fault::OneWayCut,
    a_data_node_is_killed: Fault::KillData,
    many_data_nodes_are_killed: Fault::KillManyData,
    a_data_node_freezes_and_wakes: Fault::FreezeData,
    a_data_node_is_cut_off: Fault::CutData,
    links_are_slow: Fault::SlowLinks,
    links_lose_frames: Fault::LossyLinks,
    a_target_vanishes: Fault::KillTarget,
    a_target_hangs: Fault::FreezeTarget,
    a_target_is_emptied_and_removed: Fault::DrainTarget,
    an_address_goes_to_another_service: Fault::PassAddress,
    a_sync_fails: Fault::Disk(DiskTrouble::SyncFails),
    a_write_fails_halfway: Fault::Disk(DiskTrouble::WriteFails),
    a_disk_is_full: Fault::Disk(DiskTrouble::Full),
    a_disk_stalls: Fault::Disk(DiskTrouble::Stalls),
    every_sync_is_slow: Fault::SlowDisks,
    a_node_freezes_before_it_reads_an_ask: Fault::FreezeAt(Stage::Arrived),
    a_node_freezes_before_it_asks_for_a_ticket: Fault::FreezeAt(Stage::Connected),
    a_node_freezes_with_a_ticket_in_hand: Fault::FreezeAt(Stage::Granted),
    a_node_freezes_before_the_first_byte: Fault::FreezeAt(Stage::Sending),
    a_node_freezes_before_it_reads_the_response: Fault::FreezeAt(Stage::Responded),
    the_list_is_slow: Fault::List(Trouble::Slow),
    the_list_permits_little: Fault::List(Trouble::Limited),
    the_list_is_down: Fault::List(Trouble::Down),
    the_list_is_empty_for_a_moment: Fault::List(Trouble::Empty),
    the_list_comes_back_with_less: Fault::List(Trouble::Less),
    the_list_is_garbled: Fault::List(Trouble::Garbled),
    the_lists_cursors_go_round: Fault::List(Trouble::Round),
    rows_shift_between_pages: Fault::List(Trouble::Shifts),
    pages_never_come: Fault::List(Trouble::Lost),
}

#[test]
fn every_fault_has_its_test() {
    assert_eq!(NAMED, ALL);
}

/// A full disk costs a member its vote until there is space, and never its process.
#[test]
fn no_process_ends_because_its_disk_is_full() {
    for seed in 1..=3 {
        let ended = check("full", &Scenario::new(seed, &[Fault::Disk(DiskTrouble::Full)], 4));
        assert_eq!(ended.disk_failures, 0, "seed {seed}");
    }
}

#[test]
fn all_three_seed_machines_are_swapped_and_old_seeds_still_lead_in() {
    for seed in 1..=3 {
        let mut scenario = Scenario::new(seed, &ALL, 0);
        scenario.script = vec![
            (500, Fault::SwapCore(0)),
            (9_000, Fault::SwapCore(1)),
            (9_000, Fault::SwapCore(2)),
            (9_000, Fault::RestartData(3)),
        ];
        let ended = check("seeds swapped", &scenario);
        assert_eq!(ended.members.len(), 3, "seed {seed}: {:?}", ended.members);
        let old = ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"];
        let left = ended.members.iter().filter(|member| old.contains(&member.as_str()));
        assert_eq!(left.count(), 0, "seed {seed}: {:?}", ended.members);
    }
}

/// A learner that dies right when it would join must not count in a majority of four.
#[test]
fn a_disk_lost_twice_in_a_row_leaves_a_majority() {
    for seed in 1..=3 {
        let mut scenario = Scenario::new(seed, &ALL, 0);
        let swaps = [500, 3_800].map(|pause_ms| (pause_ms, Fault::SwapCore(0)));
        scenario.script = swaps.to_vec();
        check("lost twice", &scenario);
    }
}

#[test]
fn a_rolling_restart_of_all_processes_drops_and_sheds_nothing() {
    for seed in 1..=6 {
        let mut scenario = Scenario::new(seed, &ALL, 0);
        scenario.lost_per_mille = 0;
        let data = (0..scenario.data_nodes).map(Fault::RollData);
        let control = [0, 1, 2, 0, 1, 2].map(Fault::RollControl);
        scenario.script = data.chain(control).map(|fault| (2_500, fault)).collect();
        let ended = check("rolling", &scenario);
        assert_eq!((ended.told.not_run, ended.told.unknown), (0, 0), "seed {seed}");
    }
}

#[test]
fn no_promise_rests_on_a_clock_that_can_be_set() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut folders = vec![root.join("crates"), root.join("programs")];
    let mut read = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|ending| ending == "rs") {
                let text = std::fs::read_to_string(&path).unwrap();
                read += 1;
                let settable = ["System", "Time"].concat();
                assert!(!text.contains(&settable), "{}", path.display());
            }
        }
    }
    assert!(read > 80, "{read} files were read");
}

#[test]
fn all_faults_together_in_drawn_order() {
    let mut told = [0; 4];
    let mut snapshots = 0;
    for seed in 1..=12 {
        let ended = check("everything", &Scenario::everything(seed));
        snapshots += ended.snapshots;
        told[0] += ended.told.not_run;
        told[1] += ended.told.unknown;
        told[2] += ended.plans as usize;
        told[3] += ended.refusals as usize;
    }
    assert!(snapshots > 60, "{snapshots} slots were written");
    assert!(told.iter().all(|count| *count > 0), "the faults left no mark: {told:?}");
}

#[test]
fn a_seed_replays_identically() {
    let mut scenario = Scenario::everything(77);
    scenario.log = true;
    let (one, two) = (scenario.run(), scenario.run());
    assert_eq!(one.digest, two.digest);
    assert_eq!(one.log, two.log);
    scenario.seed = 78;
    assert_ne!(one.digest, scenario.run().digest);
}

#[test]
fn nothing_is_lost_or_late_without_faults() {
    let mut scenario = Scenario::new(5, &ALL, 0);
    scenario.lost_per_mille = 0;
    let ended = check("quiet", &scenario);
    assert_eq!((ended.told.not_run, ended.told.unknown), (0, 0));
}
