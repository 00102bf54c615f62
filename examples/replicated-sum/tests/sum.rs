//! Tests a cluster of three members that are restarted one after another.

use replicated_sum::Sum;
use std::path::PathBuf;

const MAX_ATTEMPTS: usize = 200_000;

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("replicated-sum-{}-{name}", std::process::id()))
}

/// Adds an amount by trying all members until one leads, as a client would; returns the sum. Before
/// each try, every running member is asked to add all of them as learners, since a restarted member
/// has another address.
fn add(members: &[Option<Sum>], amount: u64) -> u64 {
    let all: Vec<_> = members.iter().flatten().map(|member| member.member).collect();
    for _ in 0..MAX_ATTEMPTS {
        let running = members.iter().flatten();
        running.for_each(|member| all.iter().for_each(|other| member.add_learner(*other)));
        if let Some(sum) = members.iter().flatten().find_map(|member| member.add(amount)) {
            return sum;
        }
        std::thread::yield_now();
    }
    panic!("no member accepted the addition");
}

#[test]
fn the_sum_survives_the_restart_of_each_member_in_turn() {
    let folders: Vec<PathBuf> = ["a", "b", "c"].map(folder).to_vec();
    let local = "127.0.0.1:0".parse().unwrap();
    let mut members: Vec<Option<Sum>> =
        folders.iter().map(|folder| Some(Sum::start(folder.clone(), local).unwrap())).collect();
    let all: Vec<_> = members.iter().flatten().map(|member| member.member).collect();
    members.iter().flatten().for_each(|member| member.bootstrap(all.clone()));
    while members.iter().flatten().all(|member| member.read().is_none()) {
        std::thread::yield_now();
    }
    let mut sum = 0;
    for at in 0..3 {
        for _ in 0..30 {
            let acknowledged = add(&members, 2);
            assert!(acknowledged >= sum + 2, "acknowledged sum {acknowledged} after {sum}");
            sum = acknowledged;
        }
        members[at] = None;
        while members.iter().flatten().all(|member| member.read().is_none()) {
            std::thread::yield_now();
        }
        sum = add(&members, 1);
        members[at] = Some(Sum::start(folders[at].clone(), local).unwrap());
    }
    drop(members);
    folders.iter().for_each(|folder| std::fs::remove_dir_all(folder).unwrap());
    assert!(sum >= 183, "final sum {sum}, below the acknowledged additions");
}
