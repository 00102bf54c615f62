//! Control planes of several sizes: their first start, and a small fleet's traffic and recovery.

mod fleet;

use fleet::Fleet;

const SECOND_US: u64 = 1_000_000;

#[test]
fn any_number_of_control_nodes_bootstraps_one_log_and_reaches_the_required_voters() {
    for (control, losses, voters) in [(1, 0, 1), (2, 1, 2), (4, 1, 3), (6, 2, 5), (8, 2, 5)] {
        let mut fleet = Fleet::new(control, losses, 4, 10);
        fleet.run_for(7 * SECOND_US);
        assert_eq!(
            fleet.up_and_leased_counts(),
            (4, 4),
            "data nodes up and leased, of {control} control nodes"
        );
        assert!(fleet.leader().is_some(), "none of {control} control nodes leads");
        assert_eq!(fleet.voter_count(), voters, "voters among {control} control nodes");
    }
}

#[test]
fn a_small_fleet_stays_within_its_traffic_limit_and_recovers_from_each_loss() {
    let mut fleet = Fleet::new(3, 1, 20, 60);
    fleet.run_for(4 * SECOND_US);
    assert_eq!(fleet.change_plan(1, 30).len(), 20, "data nodes that published the first plan");
    fleet.run_for(4 * SECOND_US);
    let bytes_per_s = fleet.data_node_bytes_per_s(2 * SECOND_US);
    assert!(bytes_per_s < 5_000.0, "a data node transfers {bytes_per_s} bytes a second");
    let published_ms = fleet.change_plan(2, 30);
    assert_eq!(published_ms.len(), 20, "data nodes that published the second plan");
    assert!(
        published_ms.iter().all(|ms| *ms < 2_000),
        "a data node published the second plan late: {published_ms:?} ms"
    );

    let restarted: Vec<usize> = fleet.data_nodes().step_by(10).collect();
    restarted.iter().for_each(|index| fleet.end(*index));
    restarted.iter().for_each(|index| fleet.start(*index));
    assert_recovers(&mut fleet, "a tenth of the data nodes restarted");

    let lost_nodes: Vec<usize> = fleet.data_nodes().take(8).collect();
    lost_nodes.iter().for_each(|index| fleet.end(*index));
    assert_recovers(&mut fleet, "eight data nodes lost");
    lost_nodes.iter().for_each(|index| fleet.start(*index));
    fleet.run_for(3 * SECOND_US);

    fleet.set_partition(Some(2));
    fleet.run_for(5 * SECOND_US);
    fleet.set_partition(None);
    assert_recovers(&mut fleet, "a partition healed");

    let leader = fleet.leader().expect("the fleet has a leader");
    fleet.end(leader);
    assert_recovers(&mut fleet, "the leader lost");
}

fn assert_recovers(fleet: &mut Fleet, loss: &str) {
    let recovery_ms = fleet.recovery_ms();
    assert!(recovery_ms.is_some_and(|ms| ms < 5_000), "{loss}: recovery took {recovery_ms:?} ms");
    fleet.run_for(3 * SECOND_US);
}
