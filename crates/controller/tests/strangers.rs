mod bench;
use bench::*;
use postbarrow_consensus::RecoveredState;
use postbarrow_controller::Input;
use postbarrow_messages::*;
use postbarrow_state::*;

#[test]
fn a_member_that_lost_its_disk_says_for_its_old_self_that_it_does_not_lead() {
    use postbarrow_consensus::Message as LogMessage;
    let mut bench = Bench::new(RecoveredState::default());
    let who = |to| {
        let message = LogMessage::LeaderProbe { term: 3, round: 9 };
        Input::Receive(Envelope {
            from: member(2).address,
            message: Message::Consensus { from: member(2), to, message },
        })
    };
    bench.input(who(77));
    let told = bench.sent.iter().find_map(|message| match message {
        Message::Consensus {
            from,
            to: 2,
            message: LogMessage::LeaderProbeResponse { round, not_leading, .. },
        } => Some((from.id, *round, *not_leading)),
        _ => None,
    });
    assert_eq!(told, Some((77, 9, true)), "its old self is gone with its memory");
    bench.sent.clear();
    let vote = LogMessage::Vote(postbarrow_consensus::VoteRequest {
        term: 4,
        last_index: 0,
        last_term: 0,
        leadership_transfer: false,
        leaderless: true,
    });
    let message = Message::Consensus { from: member(2), to: 77, message: vote };
    bench.input(Input::Receive(Envelope { from: member(2).address, message }));
    assert!(bench.sent.is_empty(), "it never votes for its old self");
}

#[test]
fn a_guest_finds_others_and_never_asks_to_be_a_member() {
    let own = member(9);
    let seeds = [member(1).address, member(2).address];
    let mut guest =
        postbarrow_controller::ControlNode::new(own, RecoveredState::default(), &seeds, 7, 0)
            .as_observer();
    let mut sent = Vec::new();
    for now_ms in (0..4_000).step_by(20) {
        for effect in guest.handle(now_ms, Input::Tick) {
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
    let control = vec![member(3).address];
    let message = Message::Introduction { control, formed: true };
    guest.handle(4_000, Input::Receive(Envelope { from: member(1).address, message }));
    assert!(guest.introduced().contains(&member(3).address));
    let asked = Envelope { from: client(), message: Message::Introduce };
    let told = guest.handle(4_020, Input::Receive(asked)).into_iter().find_map(|effect| {
        let postbarrow_controller::Effect::Send { to, message } = effect else { return None };
        match message {
            Message::Introduction { control, formed } if to == client() => Some((control, formed)),
            _ => None,
        }
    });
    let (control, formed) = told.expect("an introduction");
    assert!(control.contains(&member(3).address));
    assert!(formed, "a node that knows only guests must find the log by them");
}

#[test]
fn a_hold_renewed_for_longer_is_recorded_and_one_renewed_for_less_is_not_shortened() {
    let mut bench = Bench::serving();
    let mut ask = |key: u64, call: Call, pass_ms: u64| {
        (0..pass_ms / 20).for_each(|_| bench.tick(20));
        bench.ask(key, Request::Call { id: None, call });
        bench.settle();
        let locks = bench.node.committed().locks.clone();
        let said = bench.responses.iter().rev().find(|(known, _)| *known == key);
        (said.map(|(_, response)| response.clone()), locks.get("l").map(|lock| lock.ttl_ms))
    };
    let (name, holder) = (Name::from("l"), Name::from("a"));
    let lock =
        |holder: &str, ttl_ms| Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms };
    let renew = |ttl_ms| Call::Renew {
        name: name.clone(),
        holder: holder.clone(),
        fence: 1,
        ttl_ms: Some(ttl_ms),
    };
    assert_eq!(ask(1, lock("a", 1_000), 20).1, Some(1_000));
    assert_eq!(ask(2, renew(5_000), 20).1, Some(5_000), "a new controller must know");
    assert_eq!(ask(3, renew(600), 20).1, Some(5_000));
    let held = Some(Response::Outcome(Outcome::LockedByOther { fence: 1 }));
    assert_eq!(ask(4, lock("b", 1_000), 3_000).0, held, "the longer word stands");
    let (said, _) = ask(5, lock("b", 1_000), 2_000);
    assert!(matches!(said, Some(Response::Outcome(Outcome::Locked { fence: 2, .. }))), "{said:?}");
}
