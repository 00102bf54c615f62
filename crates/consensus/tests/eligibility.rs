//! A member that may not lead stays a voter. Guards against a member that leads although it can't
//! apply the log, and against a log that loses its majority because such a member is out.

mod cluster;

use cluster::*;
use postbarrow_consensus::{Input, Role};

const LOG_BYTES: u64 = 1 << 20;
const STATE_BYTES: usize = 100;
/// Long enough for several elections.
const ELECTIONS_MS: u64 = 10_000;

#[test]
fn a_leader_that_may_not_lead_steps_down_and_its_vote_still_counts() {
    let mut cluster = Cluster::new(LOG_BYTES, STATE_BYTES);
    cluster.run_ms(ELECTIONS_MS);
    let former = cluster.leader().expect("a member leads");
    cluster.handle_input(former, Input::SetCanLead(false));
    assert_eq!(cluster.node(former).role(), Role::Follower);
    cluster.run_ms(ELECTIONS_MS);
    let successor = cluster.leader().expect("another member leads");
    assert_ne!(successor, former);
    let third = (1..=3).find(|id| ![former, successor].contains(id)).unwrap();
    cluster.stop(third);
    cluster.propose(10);
    let last = cluster.node(successor).last_index();
    cluster.run_ms(ELECTIONS_MS);
    assert!(cluster.node(successor).commit_index() >= last, "the member acknowledges no entry");
    cluster.start(third);
    cluster.run_ms(ELECTIONS_MS);
    cluster.stop(successor);
    cluster.run_ms(ELECTIONS_MS);
    assert_eq!(cluster.leader(), Some(third), "the member does not vote, or leads itself");
}

#[test]
fn a_member_that_may_lead_again_campaigns() {
    let mut cluster = Cluster::new(LOG_BYTES, STATE_BYTES);
    cluster.run_ms(ELECTIONS_MS);
    (1..=3).for_each(|id| cluster.handle_input(id, Input::SetCanLead(false)));
    cluster.run_ms(ELECTIONS_MS);
    assert_eq!(cluster.leader(), None);
    cluster.handle_input(2, Input::SetCanLead(true));
    cluster.run_ms(ELECTIONS_MS);
    assert_eq!(cluster.leader(), Some(2));
}
