//! A voter is lost without warning, and an empty machine comes in its place.

use crate::cluster::Cluster;
use crate::*;

#[test]
fn unplanned_losses_one_after_another_are_borne() {
    for (voters, (catch_up_ms, dead_ms)) in SIZES {
        for (count, with_leader) in [(1, false), (1, true), (voters / 2, false), (voters / 2, true)]
        {
            let mut cluster = Cluster::running(voters, dead_ms);
            for turn in 1..=2 {
                let when =
                    format!("{voters} voters, {count} lost, leader {with_leader}, turn {turn}");
                let gone = lost(&cluster, count, with_leader);
                let vote_ms = replaced(&mut cluster, &gone, catch_up_ms, &when);
                println!("unplanned: {when}: vote {vote_ms} ms after the newcomer's start");
                cluster.must_serve(1, &when);
            }
        }
    }
}

#[test]
fn the_margin_is_gone_for_no_longer_than_silence_and_a_swap() {
    for (voters, (_, dead_ms)) in SIZES {
        let mut cluster = Cluster::running(voters, dead_ms);
        let gone = lost(&cluster, voters / 2, false);
        gone.iter().for_each(|id| cluster.kill(*id));
        (0..gone.len() as u64).for_each(|at| cluster.start(40 + at));
        let silent_ms = cluster.until(dead_ms + 500, Cluster::has_margin);
        let silent_ms = silent_ms.expect("a margin comes back");
        println!("margin: {voters} voters, {} lost: back {silent_ms} ms after", gone.len());
        assert!(silent_ms <= dead_ms + 200, "{voters} voters: {silent_ms} ms");
    }
}

/// Four of whom the replaced one is dead would miss the newcomer (seed 511).
#[test]
fn a_newcomer_lost_at_any_moment_of_an_unplanned_replacement_costs_no_majority() {
    let seated = |cluster: &Cluster| cluster.voters().contains(&30);
    let until_lost = |most_ms: u64| {
        let mut cluster = Cluster::running(3, SMALL.1);
        let gone = lost(&cluster, 1, false)[0];
        cluster.kill(gone);
        cluster.start(30);
        let taken_ms = cluster.until(most_ms, seated);
        (cluster, taken_ms)
    };
    let taken_ms = until_lost(SMALL.0).1.expect("the seat is taken");
    for before_ms in 0..40 {
        let (mut cluster, _) = until_lost(taken_ms - before_ms);
        cluster.kill(30);
        let when = format!("newcomer lost {before_ms} ms before it would have its seat");
        cluster.must_serve(SERVICE_MS, &when);
        cluster.start(31);
        cluster.pass(SMALL.0);
        assert!(cluster.voters().contains(&31), "{when}: {:?}", cluster.voters());
    }
}

#[test]
fn one_cut_off_for_a_while_keeps_its_seat_if_nobody_waits_and_comes_back_if_somebody_does() {
    for waits in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        if waits {
            cluster.start(30);
            cluster.pass(1_000);
        }
        let before = cluster.voters();
        let one = lost(&cluster, 1, false)[0];
        cluster.cut(one);
        cluster.pass(3_000);
        cluster.heal();
        cluster.pass(3_000);
        let voters = cluster.voters();
        assert_eq!(voters == before, !waits, "{voters:?}");
        assert_eq!(voters.len(), 3);
        let next = lost(&cluster, 1, true)[0];
        cluster.kill(next);
        cluster.pass(SMALL.0);
        cluster.must_serve(SERVICE_MS, "after the next loss");
        if waits {
            assert!(cluster.voters().contains(&one), "the expelled one stands ready again");
        }
    }
}
