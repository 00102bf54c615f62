//! Nodes without a log: a member whose disk was lost, and an observer.

mod harness;
use harness::*;
use postbarrow_consensus::RecoveredState;
use postbarrow_controller::Input;
use postbarrow_messages::*;

#[test]
fn a_member_that_lost_its_disk_answers_a_leader_probe_for_its_former_id() {
    use postbarrow_consensus::Message as LogMessage;
    let mut harness = Harness::new(RecoveredState::default());
    let probe = |to| {
        let message = LogMessage::LeaderProbe { term: 3, round: 9 };
        Input::Receive(Envelope {
            from: member(2).address,
            message: Message::Consensus { from: member(2), to, message },
        })
    };
    harness.input(probe(77));
    let response = harness.sent.iter().find_map(|message| match message {
        Message::Consensus {
            from,
            to: 2,
            message: LogMessage::LeaderProbeResponse { round, not_leading, .. },
        } => Some((from.id, *round, *not_leading)),
        _ => None,
    });
    assert_eq!(response, Some((77, 9, true)), "no response that the former member does not lead");
    harness.sent.clear();
    let vote = LogMessage::Vote(postbarrow_consensus::VoteRequest {
        term: 4,
        last_index: 0,
        last_term: 0,
        leadership_transfer: false,
        leaderless: true,
    });
    let message = Message::Consensus { from: member(2), to: 77, message: vote };
    harness.input(Input::Receive(Envelope { from: member(2).address, message }));
    assert!(harness.sent.is_empty(), "the node voted for its former id");
}

#[test]
fn an_observer_discovers_members_and_never_announces_itself() {
    let own = member(9);
    let seeds = [member(1).address, member(2).address];
    let mut observer =
        postbarrow_controller::ControlNode::new(own, RecoveredState::default(), &seeds, 7, 0)
            .as_observer();
    let mut sent = Vec::new();
    for now_ms in (0..4_000).step_by(20) {
        for effect in observer.handle(now_ms, Input::Tick) {
            if let postbarrow_controller::Effect::Send { message, .. } = effect {
                sent.push(message);
            }
        }
    }
    assert!(sent.iter().any(|message| matches!(message, Message::Introduce)));
    assert!(!sent.iter().any(|message| matches!(
        message,
        Message::DiscoveryAnnouncement(_) | Message::Bootstrap(_)
    )));
    let control_addresses = vec![member(3).address];
    let message = Message::Introduction { control_addresses, log_exists: true };
    observer.handle(4_000, Input::Receive(Envelope { from: member(1).address, message }));
    assert!(observer.known_control_addresses().contains(&member(3).address));
    let introduce = Envelope { from: client(), message: Message::Introduce };
    let introduction =
        observer.handle(4_020, Input::Receive(introduce)).into_iter().find_map(|effect| {
            let postbarrow_controller::Effect::Send { to, message } = effect else { return None };
            match message {
                Message::Introduction { control_addresses, log_exists } if to == client() => {
                    Some((control_addresses, log_exists))
                }
                _ => None,
            }
        });
    let (control_addresses, log_exists) = introduction.expect("no introduction was sent");
    assert!(control_addresses.contains(&member(3).address));
    assert!(log_exists, "a node that knows only observers must learn of the log from them");
}
