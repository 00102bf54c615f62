//! A voter is lost without warning, and an uninitialized process replaces it.

use crate::cluster::Cluster;
use crate::*;

#[test]
fn successive_unplanned_losses_are_replaced() {
    for (voters, (catch_up_ms, dead_ms)) in SIZES {
        for (count, with_leader) in [(1, false), (1, true), (voters / 2, false), (voters / 2, true)]
        {
            let mut cluster = Cluster::running(voters, dead_ms);
            for turn in 1..=2 {
                let when =
                    format!("{voters} voters, {count} lost, leader {with_leader}, turn {turn}");
                let lost_ids = voters_to_lose(&cluster, count, with_leader);
                let vote_ms = replace_voters(&mut cluster, &lost_ids, catch_up_ms, &when);
                println!("unplanned: {when}: vote {vote_ms} ms after the learner's start");
                cluster.assert_serves(1, &when);
            }
        }
    }
}

#[test]
fn the_margin_returns_within_the_dead_voter_timeout_and_one_replacement() {
    for (voters, (_, dead_ms)) in SIZES {
        let mut cluster = Cluster::running(voters, dead_ms);
        let lost_ids = voters_to_lose(&cluster, voters / 2, false);
        lost_ids.iter().for_each(|id| cluster.kill(*id));
        (0..lost_ids.len() as u64).for_each(|at| cluster.start(40 + at));
        let silent_ms = cluster.run_until(dead_ms + 500, Cluster::has_margin);
        let silent_ms = silent_ms.expect("a margin comes back");
        println!("margin: {voters} voters, {} lost: back {silent_ms} ms after", lost_ids.len());
        assert!(silent_ms <= dead_ms + 200, "{voters} voters: {silent_ms} ms");
    }
}

/// Four voters, of which the replaced one is dead, would have no majority without the learner (seed
/// 511).
#[test]
fn a_learner_lost_at_any_time_of_a_replacement_costs_no_majority() {
    let has_seat = |cluster: &Cluster| cluster.voters().contains(&30);
    let run_until_lost = |max_ms: u64| {
        let mut cluster = Cluster::running(3, SMALL.1);
        let lost_id = voters_to_lose(&cluster, 1, false)[0];
        cluster.kill(lost_id);
        cluster.start(30);
        let seated_ms = cluster.run_until(max_ms, has_seat);
        (cluster, seated_ms)
    };
    let seated_ms = run_until_lost(SMALL.0).1.expect("the seat is taken");
    for before_ms in 0..40 {
        let (mut cluster, _) = run_until_lost(seated_ms - before_ms);
        cluster.kill(30);
        let when = format!("learner lost {before_ms} ms before it would have its seat");
        cluster.assert_serves(SERVICE_MS, &when);
        cluster.start(31);
        cluster.run_ms(SMALL.0);
        assert!(cluster.voters().contains(&31), "{when}: {:?}", cluster.voters());
    }
}

#[test]
fn a_partitioned_voter_retains_its_seat_without_a_learner_and_rejoins_with_one() {
    for learner_is_waiting in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        if learner_is_waiting {
            cluster.start(30);
            cluster.run_ms(1_000);
        }
        let before = cluster.voters();
        let one = voters_to_lose(&cluster, 1, false)[0];
        cluster.partition(one);
        cluster.run_ms(3_000);
        cluster.heal();
        cluster.run_ms(3_000);
        let voters = cluster.voters();
        assert_eq!(voters == before, !learner_is_waiting, "{voters:?}");
        assert_eq!(voters.len(), 3);
        let next = voters_to_lose(&cluster, 1, true)[0];
        cluster.kill(next);
        cluster.run_ms(SMALL.0);
        cluster.assert_serves(SERVICE_MS, "after the next loss");
        if learner_is_waiting {
            assert!(cluster.voters().contains(&one), "the removed voter has its seat again");
        }
    }
}
