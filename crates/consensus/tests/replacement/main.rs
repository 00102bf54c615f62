//! Replacement of voters, planned or not, where the next loss follows right after the catch-up
//! time.

mod cluster;
mod disk;
#[path = "../fixture/mod.rs"]
mod fixture;
mod observation;
mod planned;
mod unplanned;

use cluster::Cluster;

/// The catch-up time and the dead-voter timeout that follows from it, in milliseconds, of a small
/// deployment.
const SMALL: (u64, u64) = (4_000, 2_000);
/// The catch-up time and the dead-voter timeout that follows from it, in milliseconds, of a large
/// deployment.
const LARGE: (u64, u64) = (6_000, 3_000);
/// Time from the loss of voters to the start of the uninitialized processes that replace them.
const REPLACEMENT_START_MS: u64 = 1_000;
/// Longest time from a loss until there is a leader again: the timeout, two elections and a
/// replacement.
const SERVICE_MS: u64 = 3_000;
/// Numbers of voters, each with the catch-up time and the dead-voter timeout of its deployment.
const SIZES: [(u64, (u64, u64)); 3] = [(3, SMALL), (5, LARGE), (7, LARGE)];

/// Returns `count` voters, the leader first if `with_leader`, and without it otherwise.
fn voters_to_lose(cluster: &Cluster, count: u64, with_leader: bool) -> Vec<u64> {
    let leader = cluster.leader().unwrap();
    let mut ids = cluster.voters();
    ids.retain(|id| *id != leader);
    if with_leader {
        ids.insert(0, leader);
    }
    ids.truncate(count as usize);
    ids
}

/// Kills these voters at once and starts as many new members. Returns the milliseconds from the
/// start of the new members until all of them are voters.
fn replace_voters(cluster: &mut Cluster, lost_ids: &[u64], catch_up_ms: u64, when: &str) -> u64 {
    lost_ids.iter().for_each(|id| cluster.kill(*id));
    cluster.run_ms(REPLACEMENT_START_MS);
    let first = 20 + cluster.now_ms % 100_000 / 10;
    let learners: Vec<u64> = (0..lost_ids.len() as u64).map(|at| 20 + (first + at) % 200).collect();
    learners.iter().for_each(|id| cluster.start(*id));
    let all_vote = |cluster: &Cluster| {
        let voters = cluster.voters();
        learners.iter().all(|id| voters.contains(id))
            && lost_ids.iter().all(|id| !voters.contains(id))
    };
    let vote_ms = cluster.run_until(catch_up_ms * 3 / 4, all_vote);
    let vote_ms = vote_ms
        .unwrap_or_else(|| panic!("{when}: the voters were not replaced: {:?}", cluster.voters()));
    cluster.run_ms(catch_up_ms - vote_ms);
    vote_ms
}
