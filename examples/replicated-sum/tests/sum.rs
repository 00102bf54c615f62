use replicated_sum::Sum;
use std::path::PathBuf;

const TRIES: usize = 200_000;

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("replicated-sum-{}-{name}", std::process::id()))
}

/// Whoever leads is found by asking all, as a caller would.
fn add(members: &[Option<Sum>], by: u64) -> u64 {
    let all: Vec<_> = members.iter().flatten().map(|member| member.member).collect();
    for _ in 0..TRIES {
        let welcomes = members.iter().flatten();
        welcomes.for_each(|member| all.iter().for_each(|other| member.welcome(*other)));
        if let Some(sum) = members.iter().flatten().find_map(|member| member.add(by)) {
            return sum;
        }
        std::thread::yield_now();
    }
    panic!("nobody leads");
}

#[test]
fn a_sum_outlives_each_of_its_members_in_turn() {
    let folders: Vec<PathBuf> = ["a", "b", "c"].map(folder).to_vec();
    let local = "127.0.0.1:0".parse().unwrap();
    let mut members: Vec<Option<Sum>> =
        folders.iter().map(|folder| Some(Sum::start(folder.clone(), local).unwrap())).collect();
    let all: Vec<_> = members.iter().flatten().map(|member| member.member).collect();
    members.iter().flatten().for_each(|member| member.begin(all.clone()));
    while members.iter().flatten().all(|member| member.read().is_none()) {
        std::thread::yield_now();
    }
    let mut sum = 0;
    for at in 0..3 {
        for _ in 0..30 {
            let told = add(&members, 2);
            assert!(told >= sum + 2, "{told} after {sum}");
            sum = told;
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
    assert!(sum >= 183, "{sum}");
}
