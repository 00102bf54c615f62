//! A voter is asked to stop, with a newcomer there or without.

use crate::cluster::Cluster;
use crate::*;
use std::cell::Cell;

#[test]
fn a_planned_leaver_gives_its_seat_before_it_ends_and_leaves_a_margin_all_the_time() {
    for (voters, (catch_up_ms, dead_ms)) in SIZES {
        for with_leader in [false, true] {
            let mut cluster = Cluster::running(voters, dead_ms);
            for turn in 0..2 {
                let when = format!("{voters} voters, leader {with_leader}, turn {turn}");
                let (newcomer, leaver) = (30 + turn, lost(&cluster, 1, with_leader)[0]);
                cluster.start(newcomer);
                cluster.pass(1_000);
                cluster.stop(leaver);
                let without_margin_ms = Cell::new(0);
                let ended = |cluster: &Cluster| {
                    let bare = cluster.leader().is_some() && !cluster.has_margin();
                    without_margin_ms.set(without_margin_ms.get() + u64::from(bare));
                    !cluster.lives(leaver)
                };
                let end_ms = cluster.until(2_000, ended);
                let end_ms = end_ms.unwrap_or_else(|| panic!("{when}: it doesn't end"));
                assert_eq!(without_margin_ms.get(), 0, "{when}: no margin for so long");
                let voters = cluster.voters();
                assert!(voters.contains(&newcomer) && !voters.contains(&leaver), "{when}");
                assert!(cluster.has_margin(), "{when}: no margin at its end");
                println!("planned: {when}: seat given and ended {end_ms} ms after the wish");
                cluster.pass(catch_up_ms - 1_000 - end_ms);
                let next = cluster.leader().unwrap();
                cluster.kill(next);
                cluster.must_serve(SERVICE_MS, &when);
                cluster.start(next);
                cluster.pass(2_000);
            }
        }
    }
}

/// The leaver knows of no newcomer yet, ends, and is known to be gone without more silence.
#[test]
fn a_newcomer_that_starts_with_the_stop_takes_the_seat_without_waiting_for_silence() {
    for with_leader in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        let leaver = lost(&cluster, 1, with_leader)[0];
        cluster.stop(leaver);
        cluster.pass(50);
        cluster.start(30);
        let seated = |cluster: &Cluster| {
            let voters = cluster.voters();
            voters.contains(&30) && !voters.contains(&leaver)
        };
        let vote_ms = cluster.until(1_500, seated);
        println!("stop and start at once: leader {with_leader}: vote {vote_ms:?} ms after");
        assert!(vote_ms.is_some(), "leader {with_leader}: {:?}", cluster.voters());
    }
}

#[test]
fn a_mere_restart_changes_no_member() {
    for with_leader in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        for _ in 0..4 {
            let before = cluster.voters();
            let one = lost(&cluster, 1, with_leader)[0];
            cluster.stop(one);
            let end_ms = cluster.until(1_500, |cluster| !cluster.lives(one));
            println!("restart: leader {with_leader}: ended {:?} ms after the wish", end_ms);
            assert!(end_ms.is_some(), "a restart waits for nobody");
            cluster.pass(300);
            cluster.start(one);
            cluster.pass(2_000);
            assert_eq!(cluster.voters(), before);
        }
    }
}

/// B is cut off while A and C acknowledge; then A is asked to stop, and a newcomer comes.
#[test]
fn a_leaver_that_holds_what_only_one_other_holds_stays_until_another_does() {
    let mut cluster = Cluster::running(3, 60_000);
    let leader = cluster.leader().unwrap();
    let mut others = lost(&cluster, 2, false);
    let (behind, other) = (others.remove(0), others.remove(0));
    cluster.cut(behind);
    cluster.pass(1_000);
    let held = cluster.acknowledged.clone();
    assert!(cluster.missing_at(behind, &held) > 50, "what only two hold");
    cluster.stop(leader);
    cluster.pass(1_500);
    assert!(cluster.lives(leader), "only one other holds what it acknowledged");
    let held = cluster.acknowledged.clone();
    cluster.heal();
    let end_ms = cluster.until(1_400, |cluster| !cluster.lives(leader));
    assert!(end_ms.is_some(), "both others hold it");
    assert_eq!(cluster.missing_at(behind, &held), 0);
    assert_eq!(cluster.missing_at(other, &held), 0);
    cluster.must_serve(SERVICE_MS, "after it ended");
}

#[test]
fn what_a_leaver_acknowledged_outlives_it_and_the_next_to_go() {
    for with_leader in [false, true] {
        let mut cluster = Cluster::running(3, SMALL.1);
        cluster.start(30);
        cluster.pass(700);
        let leaver = lost(&cluster, 1, with_leader)[0];
        cluster.stop(leaver);
        cluster.until(3_000, |cluster| !cluster.lives(leaver)).expect("it ends");
        let held = cluster.acknowledged.clone();
        let next = cluster.leader().unwrap();
        cluster.kill(next);
        for id in [1, 2, 3, 30].into_iter().filter(|id| *id != leaver && *id != next) {
            assert!(cluster.missing_at(id, &held) <= 1, "{id} lacks {}", {
                cluster.missing_at(id, &held)
            });
        }
        cluster.must_serve(SERVICE_MS, "after the next loss");
    }
}

/// A loss beside the one that is planned: the leaver's seat must not be waited for by the log.
#[test]
fn the_leader_is_lost_at_any_moment_of_a_planned_replacement() {
    for after_ms in (0..=120).step_by(10) {
        let mut cluster = Cluster::running(3, SMALL.1);
        let when = format!("leader lost {after_ms} ms after the stop");
        let (leader, leaver) = (cluster.leader().unwrap(), lost(&cluster, 1, false)[0]);
        cluster.start(30);
        cluster.pass(1_000);
        cluster.stop(leaver);
        cluster.pass(after_ms);
        cluster.kill(leader);
        cluster.must_serve(SERVICE_MS, &when);
        let end_ms = cluster.until(1_000, |cluster| !cluster.lives(leaver));
        assert!(end_ms.is_some(), "{when}: the leaver waits for the dead one's silence");
        cluster.pass(SMALL.0);
        cluster.must_serve(1, &format!("{when}, after the leaver's end"));
        cluster.start(31);
        cluster.pass(SMALL.0);
        let voters = cluster.voters();
        assert!(voters.contains(&30) && voters.contains(&31), "{when}: {voters:?}");
    }
}

#[test]
fn who_ends_has_acknowledged_nothing_that_the_living_do_not_hold() {
    for (voters, dead_ms) in [(3, SMALL.1), (5, GROWN.1)] {
        let mut cluster = Cluster::running(voters, dead_ms);
        for change_ms in [1, 3, 10] {
            cluster.change_ms = change_ms;
            for offset_ms in 0..8 {
                cluster.pass(1_000 + offset_ms);
                let others = lost(&cluster, 2, false);
                let (one, slow) = (others[0], others[1]);
                cluster.slow = Some(slow);
                cluster.pass(200);
                cluster.stop(one);
                let end_ms = cluster.until(1_000, |cluster| !cluster.lives(one));
                let when =
                    format!("{voters} voters, a change each {change_ms} ms, offset {offset_ms}");
                assert!(end_ms.is_some(), "{when}: it doesn't end");
                let (acknowledged, _) = cluster.ends(one);
                for other in cluster.voters().into_iter().filter(|other| *other != one) {
                    let (_, held) = cluster.ends(other);
                    assert!(held >= acknowledged, "{when}: {other} holds {held} of {acknowledged}");
                }
                cluster.slow = None;
                cluster.start(one);
            }
        }
    }
}

#[test]
fn a_newcomer_that_dies_half_way_twice_costs_nothing() {
    for voters in [3, 5] {
        for after_ms in [20, 250, 500, 620, 650, 700, 2_100, 2_200] {
            let mut cluster = Cluster::running(voters, SMALL.1);
            let when = format!("{voters} voters, newcomer dies after {after_ms} ms");
            let leaver = lost(&cluster, 1, false)[0];
            cluster.start(30);
            cluster.pass(300);
            cluster.stop(leaver);
            cluster.pass(after_ms);
            cluster.kill(30);
            cluster.pass(1_000);
            cluster.start(31);
            cluster.pass(after_ms);
            cluster.kill(31);
            cluster.pass(1_000);
            cluster.must_serve(SERVICE_MS, &when);
            cluster.start(32);
            cluster.pass(2 * SMALL.0);
            assert!(cluster.voters().contains(&32), "{when}: {:?}", cluster.voters());
            assert_eq!(cluster.voters().len() as u64, voters, "{when}");
            let next = cluster.leader().unwrap();
            cluster.kill(next);
            cluster.must_serve(SERVICE_MS, &when);
        }
    }
}
