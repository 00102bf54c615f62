//! Leadership transfer by a TimeoutNow message.

mod fixture;

use fixture::{member, recovered_voter};
use postbarrow_consensus::*;

/// Three voters with immediate delivery of frames and immediate syncs.
struct ThreeVoters {
    nodes: Vec<Consensus>,
    now_ms: u64,
    /// The handover states received, each with the id of the member that received it.
    received_handover: Vec<(u64, Vec<u8>)>,
}

impl ThreeVoters {
    fn led_by_member_1() -> ThreeVoters {
        let consensus = |id| Consensus::new(id, recovered_voter(), 7, 1_000);
        let mut cluster = ThreeVoters {
            nodes: (1..=3).map(consensus).collect(),
            now_ms: 10_000,
            received_handover: vec![],
        };
        cluster.handle_input(1, Input::Tick);
        cluster.handle_input(1, Input::Tick);
        assert_eq!(cluster.node(1).role(), Role::Leader);
        cluster
    }

    fn node(&self, id: u64) -> &Consensus {
        &self.nodes[id as usize - 1]
    }

    fn handle_input(&mut self, to: u64, input: Input) {
        let mut queue = vec![(to, input)];
        while let Some((to, input)) = queue.pop() {
            let effects = self.nodes[to as usize - 1].handle(self.now_ms, input);
            for effect in effects {
                match effect {
                    Effect::Send { to: other, message } => {
                        queue.insert(0, (other.id, Input::Receive { from: member(to), message }));
                    }
                    Effect::Write { sequence, .. } => {
                        queue.insert(0, (to, Input::Synced(sequence)))
                    }
                    Effect::LeadershipReceived { handover_state, .. } => {
                        self.received_handover.push((to, handover_state))
                    }
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn a_leadership_transfer_ends_the_old_lease_before_the_new_leader_is_elected() {
    let mut cluster = ThreeVoters::led_by_member_1();
    cluster.now_ms += 100;
    cluster.handle_input(1, Input::Tick);
    assert!(cluster.node(1).lease_until_ms() > cluster.now_ms);
    let effects = cluster.nodes[0].handle(cluster.now_ms, Input::TransferLeadership(vec![9]));
    assert_eq!(
        cluster.node(1).lease_until_ms(),
        0,
        "the leader has a lease while leadership is being transferred"
    );
    let Some(Effect::Send { to, message }) = effects.into_iter().next() else {
        panic!("the leader sent no message")
    };
    cluster.handle_input(to.id, Input::Receive { from: member(1), message });
    assert_eq!(
        cluster.node(to.id).role(),
        Role::Leader,
        "the transferee did not become leader at once"
    );
    assert!(cluster.node(to.id).lease_until_ms() > cluster.now_ms);
    assert_eq!(cluster.node(1).role(), Role::Follower);
    assert_eq!(cluster.received_handover, [(to.id, vec![9])]);
}

#[test]
fn a_relinquished_lease_is_not_renewed_in_the_same_term() {
    let mut cluster = ThreeVoters::led_by_member_1();
    let _lost = cluster.nodes[0].handle(cluster.now_ms, Input::TransferLeadership(Vec::new()));
    for _ in 0..5 {
        cluster.now_ms += 100;
        cluster.handle_input(1, Input::Tick);
        assert_eq!(cluster.node(1).lease_until_ms(), 0);
    }
}

#[test]
fn only_the_leader_of_the_current_term_can_transfer_leadership() {
    let mut cluster = ThreeVoters::led_by_member_1();
    for (from, term) in [(3, 1), (1, 0), (1, 2)] {
        let request = TimeoutNow { term, sent_ms: 0, handover_state: Vec::new() };
        let effects = cluster.nodes[1].handle(
            cluster.now_ms,
            Input::Receive { from: member(from), message: Message::TimeoutNow(request) },
        );
        assert!(
            effects.is_empty(),
            "TimeoutNow from member {from} in term {term} was not ignored: {effects:?}"
        );
    }
    let vote = VoteRequest {
        term: 2,
        last_index: 9,
        last_term: 9,
        leadership_transfer: false,
        leaderless: false,
    };
    let message = Message::Vote(vote);
    let effects =
        cluster.nodes[1].handle(cluster.now_ms, Input::Receive { from: member(3), message });
    assert!(
        effects.is_empty(),
        "the voter responded although its leader does not transfer leadership"
    );
}

#[test]
fn a_delayed_handover_state_reports_its_delay() {
    let mut cluster = ThreeVoters::led_by_member_1();
    let request = TimeoutNow {
        term: cluster.node(1).term(),
        sent_ms: cluster.now_ms,
        handover_state: Vec::new(),
    };
    let late_ms = 2_000;
    let message = Message::TimeoutNow(request);
    let effects = cluster.nodes[1]
        .handle(cluster.now_ms + late_ms, Input::Receive { from: member(1), message });
    let reported_ms = effects.iter().find_map(|effect| match effect {
        Effect::LeadershipReceived { late_ms, .. } => Some(*late_ms),
        _ => None,
    });
    assert_eq!(reported_ms, Some(late_ms));
}
