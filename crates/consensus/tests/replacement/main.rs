//! A voter is replaced, planned or not, and the next loss comes right after the time to catch up.

mod cluster;
mod disk;
mod observation;
mod planned;
mod unplanned;

use cluster::Cluster;

/// Time to catch up and the silence that follows from it, of a small deployment and a grown one.
const SMALL: (u64, u64) = (4_000, 2_000);
const GROWN: (u64, u64) = (6_000, 3_000);
/// An empty machine comes so long after the loss.
const NEWCOMER_MS: u64 = 1_000;
/// Service is back within this after a loss: silence, two elections and a swap.
const SERVICE_MS: u64 = 3_000;
/// Voters, and the times that they are given.
const SIZES: [(u64, (u64, u64)); 3] = [(3, SMALL), (5, GROWN), (7, GROWN)];

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

/// These are lost at once, so many new ones come; how long after their start all of them vote.
fn replace_voters(cluster: &mut Cluster, lost_ids: &[u64], catch_up_ms: u64, when: &str) -> u64 {
    lost_ids.iter().for_each(|id| cluster.kill(*id));
    cluster.run_ms(NEWCOMER_MS);
    let first = 20 + cluster.now_ms % 100_000 / 10;
    let newcomers: Vec<u64> =
        (0..lost_ids.len() as u64).map(|at| 20 + (first + at) % 200).collect();
    newcomers.iter().for_each(|id| cluster.start(*id));
    let all_vote = |cluster: &Cluster| {
        let voters = cluster.voters();
        newcomers.iter().all(|id| voters.contains(id))
            && lost_ids.iter().all(|id| !voters.contains(id))
    };
    let vote_ms = cluster.run_until(catch_up_ms * 3 / 4, all_vote);
    let vote_ms = vote_ms.unwrap_or_else(|| panic!("{when}: {:?}", cluster.voters()));
    cluster.run_ms(catch_up_ms - vote_ms);
    vote_ms
}
