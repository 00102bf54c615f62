//! The bytes of the handover state that a leader sends to its successor when it stops.
//!
//! The state is MessagePack as `rmp_serde::to_vec` writes it, an array without enum variants. Its
//! fields are sent by position, so their names may change, but not their order.

mod cluster;
#[path = "../../state/tests/golden/mod.rs"]
mod golden;
mod harness;

use cluster::Cluster;
use harness::*;
use postbarrow_consensus::{AppendRequest, Message as LogMessage, TimeoutNow};
use postbarrow_controller::{Fetched, Input, PageResult};
use postbarrow_messages::*;
use postbarrow_state::Name;

const CRATE: &str = env!("CARGO_MANIFEST_DIR");

/// The fields of the handover state: the age of the last complete scan, the order of its rows, the
/// cursors of its pages, the gap between two requests, and the ages of the requests in the last
/// window; ages and gap in milliseconds.
type ScanHandover = (Option<u64>, Vec<Name>, Vec<Option<String>>, u64, Vec<u64>);

/// Runs one tick of a leader whose endpoint list has two pages. Returns the handover state if the
/// leader sent it to a follower.
fn step(cluster: &mut Cluster) -> Option<Vec<u8>> {
    cluster.harness.tick(20);
    cluster.harness.sync();
    while let Some((number, cursor)) = cluster.harness.fetches.pop_front() {
        let (row, next) = match cursor {
            None => (Harness::row("catalogue-1", "catalogue", false), "\"second\""),
            Some(_) => (Harness::row("ledger-1", "ledger", false), "null"),
        };
        let text = format!("{{\"targets\":[{row}],\"next\":{next}}}");
        let fetched = Fetched::Page(text.into_bytes());
        cluster.harness.input(Input::Page(PageResult { number, fetched }));
    }
    let handover = cluster.harness.sent.iter().find_map(|message| match message {
        Message::Consensus { message: LogMessage::TimeoutNow(request), .. } => {
            Some(request.handover_state.clone())
        }
        _ => None,
    });
    let responses = cluster.follower_responses();
    cluster.deliver(responses);
    handover
}

fn handover_of_a_stopping_leader() -> Vec<u8> {
    let mut cluster = Cluster::serving();
    for _ in 0..400 {
        step(&mut cluster);
    }
    cluster.harness.input(Input::Stop);
    (0..100).find_map(|_| step(&mut cluster)).expect("the leader did not transfer its leadership")
}

#[test]
fn the_handover_state_of_a_stopping_leader_is_encoded_as_in_the_fixture() {
    let handover = handover_of_a_stopping_leader();
    let decoded = golden::decode::<ScanHandover>(&handover)
        .expect("the handover state does not decode into five fields");
    assert!(
        decoded.0.is_some() && decoded.1.len() == 2 && decoded.2.len() == 2,
        "handover state: {decoded:?}"
    );
    assert!(decoded.3 > 0 && !decoded.4.is_empty(), "handover state: {decoded:?}");
    let case = golden::case_of("note", handover, |bytes| {
        Ok(golden::encode(&golden::decode::<ScanHandover>(bytes)?))
    });
    golden::check(CRATE, "note.hex", &[case]);
    assert_next_leader_reads(golden::read_fixture(CRATE, "note.hex").remove(0).1);
}

/// Checks that a leader that received this handover state reports its scan before scanning itself.
fn assert_next_leader_reads(handover: Vec<u8>) {
    let mut cluster = Cluster { harness: Harness::new(recovered(&[1, 2, 3], Vec::new(), 1)) };
    let sent_ms = cluster.harness.now_ms;
    let entries = Vec::new();
    let append =
        AppendRequest { term: 1, prev_index: 0, prev_term: 0, entries, commit_index: 0, sent_ms };
    let request = TimeoutNow { term: 1, sent_ms, handover_state: handover };
    for message in [LogMessage::Append(append), LogMessage::TimeoutNow(request)] {
        cluster.harness.receive(Message::Consensus { from: member(2), to: 1, message });
    }
    for _ in 0..5 {
        cluster.harness.sync();
        let responses = cluster.follower_responses();
        cluster.deliver(responses);
        cluster.harness.tick(20);
    }
    assert!(
        cluster.harness.node.has_lease(cluster.harness.now_ms),
        "the new leader has no lease yet"
    );
    cluster.harness.request(1, Request::Targets);
    let Some(Response::Operator { body, .. }) = cluster.harness.response(1) else {
        panic!("no response")
    };
    let body = String::from_utf8_lossy(body);
    assert!(!body.contains("\"listWalkedMsAgo\":null"), "{body}");
}
