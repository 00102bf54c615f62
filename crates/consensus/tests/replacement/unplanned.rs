//! Unplanned losses of voters, which uninitialized processes replace.

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
                println!("unplanned: {when}: replaced {vote_ms} ms after the learners' start");
                cluster.assert_serves(1, &when);
            }
        }
    }
}

#[test]
fn fault_tolerance_returns_within_the_dead_voter_timeout_and_one_replacement() {
    for (voters, (_, dead_ms)) in SIZES {
        let mut cluster = Cluster::running(voters, dead_ms);
        let lost_ids = voters_to_lose(&cluster, voters / 2, false);
        lost_ids.iter().for_each(|id| cluster.kill(*id));
        (0..lost_ids.len() as u64).for_each(|at| cluster.start(40 + at));
        let vulnerable_ms = cluster.run_until(dead_ms + 500, Cluster::tolerates_another_loss);
        let vulnerable_ms = vulnerable_ms.expect("fault tolerance returns");
        println!(
            "fault tolerance: {voters} voters, {} lost: returned after {vulnerable_ms} ms",
            lost_ids.len()
        );
        assert!(
            vulnerable_ms <= dead_ms + 200,
            "{voters} voters: no fault tolerance for {vulnerable_ms} ms"
        );
    }
}

/// Guards against a replacement that adds the learner before it removes the dead voter: of these
/// four voters, no majority would be left if the learner were lost too (seed 511).
#[test]
fn a_majority_remains_when_a_learner_is_lost_at_any_time_of_a_replacement() {
    let is_learner_voter = |cluster: &Cluster| cluster.voters().contains(&30);
    let run_until_learner_votes = |max_ms: u64| {
        let mut cluster = Cluster::running(3, SMALL.1);
        let lost_id = voters_to_lose(&cluster, 1, false)[0];
        cluster.kill(lost_id);
        cluster.start(30);
        let promotion_ms = cluster.run_until(max_ms, is_learner_voter);
        (cluster, promotion_ms)
    };
    let promotion_ms = run_until_learner_votes(SMALL.0).1.expect("the learner becomes a voter");
    for before_ms in 0..40 {
        let (mut cluster, _) = run_until_learner_votes(promotion_ms - before_ms);
        cluster.kill(30);
        let when = format!("learner lost {before_ms} ms before it would become a voter");
        cluster.assert_serves(SERVICE_MS, &when);
        cluster.start(31);
        cluster.run_ms(SMALL.0);
        assert!(cluster.voters().contains(&31), "{when}: the voters are {:?}", cluster.voters());
    }
}

#[test]
fn a_partitioned_voter_stays_a_voter_without_a_learner_and_rejoins_if_it_was_replaced() {
    for learner_is_waiting in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        if learner_is_waiting {
            cluster.start(30);
            cluster.run_ms(1_000);
        }
        let before = cluster.voters();
        let partitioned = voters_to_lose(&cluster, 1, false)[0];
        cluster.partition(partitioned);
        cluster.run_ms(3_000);
        cluster.heal();
        cluster.run_ms(3_000);
        let voters = cluster.voters();
        assert_eq!(voters == before, !learner_is_waiting, "the voters are {voters:?}");
        assert_eq!(voters.len(), 3);
        let next = voters_to_lose(&cluster, 1, true)[0];
        cluster.kill(next);
        cluster.run_ms(SMALL.0);
        cluster.assert_serves(SERVICE_MS, "after the next loss");
        if learner_is_waiting {
            assert!(
                cluster.voters().contains(&partitioned),
                "the removed voter did not become a voter again"
            );
        }
    }
}
