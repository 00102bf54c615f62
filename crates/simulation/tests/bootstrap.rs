//! Control planes of several sizes: the first start, what a small fleet costs, and its recovery.

mod fleet;

use fleet::Fleet;

const SECOND_US: u64 = 1_000_000;

#[test]
fn any_number_of_control_nodes_bootstraps_one_log_and_grows_to_the_voters_needed() {
    for (control, losses, voters) in [(1, 0, 1), (2, 1, 2), (4, 1, 3), (6, 2, 5), (8, 2, 5)] {
        let mut fleet = Fleet::new(control, losses, 4, 10);
        fleet.run_for(7 * SECOND_US);
        assert_eq!(fleet.serving(), (4, 4), "{control} control nodes");
        assert!(fleet.leader().is_some(), "one of {control} leads");
        assert_eq!(fleet.voters(), voters, "of {control}");
    }
}

#[test]
fn a_small_fleet_stays_within_its_bytes_and_recovers_from_each_loss() {
    let mut fleet = Fleet::new(3, 1, 20, 60);
    fleet.run_for(4 * SECOND_US);
    assert_eq!(fleet.change_plan(1, 30).len(), 20, "the first plan");
    fleet.run_for(4 * SECOND_US);
    let bytes_per_s = fleet.data_node_bytes_per_s(2 * SECOND_US);
    assert!(bytes_per_s < 5_000.0, "{bytes_per_s} bytes a second");
    let published_ms = fleet.change_plan(2, 30);
    assert_eq!(published_ms.len(), 20, "a change reaches every data node");
    assert!(published_ms.iter().all(|ms| *ms < 2_000), "{published_ms:?}");

    let restarted: Vec<usize> = fleet.data_nodes().step_by(10).collect();
    restarted.iter().for_each(|at| fleet.end(*at));
    restarted.iter().for_each(|at| fleet.start(*at));
    assert_recovers(&mut fleet, "a tenth restarted");

    let rack: Vec<usize> = fleet.data_nodes().take(8).collect();
    rack.iter().for_each(|at| fleet.end(*at));
    assert_recovers(&mut fleet, "eight nodes lost");
    rack.iter().for_each(|at| fleet.start(*at));
    fleet.run_for(3 * SECOND_US);

    fleet.set_partition(Some(2));
    fleet.run_for(5 * SECOND_US);
    fleet.set_partition(None);
    assert_recovers(&mut fleet, "a partition healed");

    let leader = fleet.leader().expect("one leads");
    fleet.end(leader);
    assert_recovers(&mut fleet, "the leader lost");
}

fn assert_recovers(fleet: &mut Fleet, loss: &str) {
    let recovery_ms = fleet.recovery_ms();
    assert!(recovery_ms.is_some_and(|ms| ms < 5_000), "{loss}: {recovery_ms:?}");
    fleet.run_for(3 * SECOND_US);
}
