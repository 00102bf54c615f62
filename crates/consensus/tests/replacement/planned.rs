//! Planned departures of a voter, with or without a learner that replaces it.

use crate::cluster::Cluster;
use crate::*;
use std::cell::Cell;

#[test]
fn a_learner_replaces_a_departing_voter_without_loss_of_fault_tolerance() {
    for (voters, (catch_up_ms, dead_ms)) in SIZES {
        for with_leader in [false, true] {
            let mut cluster = Cluster::running(voters, dead_ms);
            for turn in 0..2 {
                let when = format!("{voters} voters, leader {with_leader}, turn {turn}");
                let (learner, departing) = (30 + turn, voters_to_lose(&cluster, 1, with_leader)[0]);
                cluster.start(learner);
                cluster.run_ms(1_000);
                cluster.stop(departing);
                let vulnerable_ms = Cell::new(0);
                let has_ended = |cluster: &Cluster| {
                    let is_vulnerable =
                        cluster.leader().is_some() && !cluster.tolerates_another_loss();
                    vulnerable_ms.set(vulnerable_ms.get() + u64::from(is_vulnerable));
                    !cluster.is_running(departing)
                };
                let end_ms = cluster.run_until(2_000, has_ended);
                let end_ms =
                    end_ms.unwrap_or_else(|| panic!("{when}: the departing process does not end"));
                assert_eq!(vulnerable_ms.get(), 0, "{when}: milliseconds without fault tolerance");
                let voters = cluster.voters();
                assert!(
                    voters.contains(&learner) && !voters.contains(&departing),
                    "{when}: the learner did not replace the departing voter"
                );
                assert!(
                    cluster.tolerates_another_loss(),
                    "{when}: no fault tolerance after the departure"
                );
                println!(
                    "planned: {when}: replaced and process ended {end_ms} ms after the request"
                );
                cluster.run_ms(catch_up_ms - 1_000 - end_ms);
                let next = cluster.leader().unwrap();
                cluster.kill(next);
                cluster.assert_serves(SERVICE_MS, &when);
                cluster.start(next);
                cluster.run_ms(2_000);
            }
        }
    }
}

/// The departing member is granted its departure before the learner is known, and is replaced
/// without waiting for the dead-voter timeout.
#[test]
fn a_learner_started_with_the_departure_becomes_a_voter_before_the_dead_voter_timeout() {
    for with_leader in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        let departing = voters_to_lose(&cluster, 1, with_leader)[0];
        cluster.stop(departing);
        cluster.run_ms(50);
        cluster.start(30);
        let has_replaced = |cluster: &Cluster| {
            let voters = cluster.voters();
            voters.contains(&30) && !voters.contains(&departing)
        };
        let vote_ms = cluster.run_until(1_500, has_replaced);
        println!(
            "stop and start at once: leader {with_leader}: learner is a voter after {vote_ms:?} ms"
        );
        assert!(vote_ms.is_some(), "leader {with_leader}: the voters are {:?}", cluster.voters());
    }
}

#[test]
fn a_restart_without_a_learner_leaves_the_voters_unchanged() {
    for with_leader in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        for _ in 0..4 {
            let before = cluster.voters();
            let restarted = voters_to_lose(&cluster, 1, with_leader)[0];
            cluster.stop(restarted);
            let end_ms = cluster.run_until(1_500, |cluster| !cluster.is_running(restarted));
            println!("restart: leader {with_leader}: stopped {:?} ms after the request", end_ms);
            assert!(end_ms.is_some(), "the restart waits for a learner");
            cluster.run_ms(300);
            cluster.start(restarted);
            cluster.run_ms(2_000);
            assert_eq!(cluster.voters(), before);
        }
    }
}

/// A follower is partitioned while the leader and the other follower acknowledge changes; then the
/// leader departs.
#[test]
fn a_departing_member_stays_until_a_majority_of_the_others_has_its_entries() {
    let mut cluster = Cluster::running(3, 60_000);
    let leader = cluster.leader().unwrap();
    let mut others = voters_to_lose(&cluster, 2, false);
    let (partitioned, other) = (others.remove(0), others.remove(0));
    cluster.partition(partitioned);
    cluster.run_ms(1_000);
    let acknowledged_changes = cluster.acknowledged.clone();
    assert!(
        cluster.missing_at(partitioned, &acknowledged_changes) > 50,
        "too few changes are missing at the partitioned member"
    );
    cluster.stop(leader);
    cluster.run_ms(1_500);
    assert!(
        cluster.is_running(leader),
        "only one other member has the changes that it acknowledged"
    );
    let acknowledged_changes = cluster.acknowledged.clone();
    cluster.heal();
    let end_ms = cluster.run_until(1_400, |cluster| !cluster.is_running(leader));
    assert!(end_ms.is_some(), "both others have the changes, but the leader does not end");
    assert_eq!(cluster.missing_at(partitioned, &acknowledged_changes), 0);
    assert_eq!(cluster.missing_at(other, &acknowledged_changes), 0);
    cluster.assert_serves(SERVICE_MS, "after the departure");
}

#[test]
fn acknowledged_entries_survive_a_departure_and_the_next_loss() {
    for with_leader in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        cluster.start(30);
        cluster.run_ms(700);
        let departing = voters_to_lose(&cluster, 1, with_leader)[0];
        cluster.stop(departing);
        cluster
            .run_until(3_000, |cluster| !cluster.is_running(departing))
            .expect("the departing process ends");
        let acknowledged_changes = cluster.acknowledged.clone();
        let next = cluster.leader().unwrap();
        cluster.kill(next);
        for id in [1, 2, 3, 30].into_iter().filter(|id| *id != departing && *id != next) {
            assert!(
                cluster.missing_at(id, &acknowledged_changes) <= 1,
                "member {id} lacks changes: {}",
                { cluster.missing_at(id, &acknowledged_changes) }
            );
        }
        cluster.assert_serves(SERVICE_MS, "after the next loss");
    }
}

/// The leader is lost during a planned departure: the log must not depend on the departing member's
/// vote.
#[test]
fn service_continues_after_a_leader_loss_at_any_time_of_a_departure() {
    for after_ms in (0..=120).step_by(10) {
        let mut cluster = Cluster::running(3, SMALL.1);
        let when = format!("leader lost {after_ms} ms after the stop");
        let (leader, departing) =
            (cluster.leader().unwrap(), voters_to_lose(&cluster, 1, false)[0]);
        cluster.start(30);
        cluster.run_ms(1_000);
        cluster.stop(departing);
        cluster.run_ms(after_ms);
        cluster.kill(leader);
        cluster.assert_serves(SERVICE_MS, &when);
        let end_ms = cluster.run_until(1_000, |cluster| !cluster.is_running(departing));
        assert!(end_ms.is_some(), "{when}: the departure waits for the dead-voter timeout");
        cluster.run_ms(SMALL.0);
        cluster.assert_serves(1, &format!("{when}, after the departure"));
        cluster.start(31);
        cluster.run_ms(SMALL.0);
        let voters = cluster.voters();
        assert!(voters.contains(&30) && voters.contains(&31), "{when}: the voters are {voters:?}");
    }
}

#[test]
fn all_remaining_members_have_what_a_departed_member_acknowledged() {
    for (voters, dead_ms) in [(3, SMALL.1), (5, LARGE.1)] {
        let mut cluster = Cluster::running(voters, dead_ms);
        for change_ms in [1, 3, 10] {
            cluster.change_ms = change_ms;
            for offset_ms in 0..8 {
                cluster.run_ms(1_000 + offset_ms);
                let others = voters_to_lose(&cluster, 2, false);
                let (departing, slow) = (others[0], others[1]);
                cluster.slow_member = Some(slow);
                cluster.run_ms(200);
                cluster.stop(departing);
                let end_ms = cluster.run_until(1_000, |cluster| !cluster.is_running(departing));
                let when =
                    format!("{voters} voters, a change each {change_ms} ms, offset {offset_ms}");
                assert!(end_ms.is_some(), "{when}: the departing process does not end");
                let (acknowledged, _) = cluster.acknowledged_and_durable_index(departing);
                for other in cluster.voters().into_iter().filter(|other| *other != departing) {
                    let (_, durable) = cluster.acknowledged_and_durable_index(other);
                    assert!(
                        durable >= acknowledged,
                        "{when}: member {other} has entries up to {durable} of {acknowledged}"
                    );
                }
                cluster.slow_member = None;
                cluster.start(departing);
            }
        }
    }
}

#[test]
fn service_continues_after_learners_are_lost_during_a_departure() {
    for voters in [3, 5] {
        for after_ms in [20, 250, 500, 620, 650, 700, 2_100, 2_200] {
            let mut cluster = Cluster::running(voters, SMALL.1);
            let when = format!("{voters} voters, learner lost after {after_ms} ms");
            let departing = voters_to_lose(&cluster, 1, false)[0];
            cluster.start(30);
            cluster.run_ms(300);
            cluster.stop(departing);
            cluster.run_ms(after_ms);
            cluster.kill(30);
            cluster.run_ms(1_000);
            cluster.start(31);
            cluster.run_ms(after_ms);
            cluster.kill(31);
            cluster.run_ms(1_000);
            cluster.assert_serves(SERVICE_MS, &when);
            cluster.start(32);
            cluster.run_ms(2 * SMALL.0);
            assert!(
                cluster.voters().contains(&32),
                "{when}: the voters are {:?}",
                cluster.voters()
            );
            assert_eq!(cluster.voters().len() as u64, voters, "{when}: number of voters");
            let next = cluster.leader().unwrap();
            cluster.kill(next);
            cluster.assert_serves(SERVICE_MS, &when);
        }
    }
}
