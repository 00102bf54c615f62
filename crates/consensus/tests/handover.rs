use postbarrow_consensus::*;
use std::sync::Arc;

fn member(id: u64) -> Member {
    Member { id, address: format!("10.0.0.{id}:1").parse().unwrap() }
}

/// Three voters whose frames arrive at once and whose disks sync at once.
struct Three {
    nodes: Vec<Consensus>,
    now_ms: u64,
    handed: Vec<(u64, Vec<u8>)>,
}

impl Three {
    fn led_by_one() -> Three {
        let members: Vec<Member> = (1..=3).map(member).collect();
        let snapshot = Arc::new(Snapshot { index: 0, term: 0, members, state: Vec::new() });
        let recovered = RecoveredState { snapshot: Some(snapshot), ..RecoveredState::default() };
        let made = |id| Consensus::new(id, recovered.clone(), 7, 1_000);
        let mut three =
            Three { nodes: (1..=3).map(made).collect(), now_ms: 10_000, handed: vec![] };
        three.give(1, Input::Tick);
        three.give(1, Input::Tick);
        assert_eq!(three.node(1).role(), Role::Leader);
        three
    }

    fn node(&self, id: u64) -> &Consensus {
        &self.nodes[id as usize - 1]
    }

    fn give(&mut self, to: u64, input: Input) {
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
                    Effect::LeadershipReceived { note, .. } => self.handed.push((to, note)),
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn a_leader_hands_over_at_once_and_its_hold_ended_first() {
    let mut three = Three::led_by_one();
    three.now_ms += 100;
    three.give(1, Input::Tick);
    assert!(three.node(1).lease_until() > three.now_ms);
    let asks = three.nodes[0].handle(three.now_ms, Input::TransferLeadership(vec![9]));
    assert_eq!(three.node(1).lease_until(), 0, "nothing is granted while another is asked to lead");
    let Some(Effect::Send { to, message }) = asks.into_iter().next() else {
        panic!("nobody asked")
    };
    three.give(to.id, Input::Receive { from: member(1), message });
    assert_eq!(three.node(to.id).role(), Role::Leader, "without waiting for any promise to end");
    assert!(three.node(to.id).lease_until() > three.now_ms);
    assert_eq!(three.node(1).role(), Role::Follower);
    assert_eq!(three.handed, [(to.id, vec![9])]);
}

#[test]
fn a_hold_given_up_does_not_come_back_in_its_term() {
    let mut three = Three::led_by_one();
    let _lost = three.nodes[0].handle(three.now_ms, Input::TransferLeadership(Vec::new()));
    for _ in 0..5 {
        three.now_ms += 100;
        three.give(1, Input::Tick);
        assert_eq!(three.node(1).lease_until(), 0);
    }
}

#[test]
fn only_the_present_leader_can_ask_to_take_over() {
    let mut three = Three::led_by_one();
    for (from, term) in [(3, 1), (1, 0), (1, 2)] {
        let ask = TimeoutNow { term, sent_ms: 0, handover_state: Vec::new() };
        let effects = three.nodes[1].handle(
            three.now_ms,
            Input::Receive { from: member(from), message: Message::TimeoutNow(ask) },
        );
        assert!(effects.is_empty(), "from {from}, term {term}: {effects:?}");
    }
    let vote = VoteRequest {
        term: 2,
        last_index: 9,
        last_term: 9,
        leadership_transfer: false,
        leaderless: false,
    };
    let message = Message::Vote(vote);
    let effects = three.nodes[1].handle(three.now_ms, Input::Receive { from: member(3), message });
    assert!(effects.is_empty(), "a promise to a leader binds unless that leader gave up");
}

#[test]
fn a_note_that_was_long_under_way_says_so() {
    let mut three = Three::led_by_one();
    let ask = TimeoutNow {
        term: three.node(1).term(),
        sent_ms: three.now_ms,
        handover_state: Vec::new(),
    };
    let late_ms = 2_000;
    let message = Message::TimeoutNow(ask);
    let effects =
        three.nodes[1].handle(three.now_ms + late_ms, Input::Receive { from: member(1), message });
    let told = effects.iter().find_map(|effect| match effect {
        Effect::LeadershipReceived { late_ms, .. } => Some(*late_ms),
        _ => None,
    });
    assert_eq!(told, Some(late_ms));
}
