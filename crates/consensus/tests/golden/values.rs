//! One value of each type of this crate that is stored or sent. No field has its default, and no
//! two fields of one struct are equal, so that the bytes change if a field moves.
#![allow(dead_code)]

use postbarrow_consensus::*;
use std::sync::Arc;

pub fn member(id: u8) -> Member {
    Member { id: id.into(), address: ([10, 1, 0, id], 7_000).into() }
}

fn members() -> Vec<Member> {
    let third = Member {
        id: u64::MAX,
        address: "[2001:db8::3]:7000".parse().expect("the address is valid"),
    };
    vec![member(1), member(2), third]
}

pub fn payloads() -> Vec<(&'static str, Payload)> {
    vec![
        ("TermStart", Payload::TermStart),
        ("Members", Payload::Members(members())),
        ("Batch", Payload::Batch(b"\x01batch\xff".to_vec())),
    ]
}

/// Returns an entry of every payload, with consecutive indexes from `first`.
pub fn entries(first: u64) -> Vec<Entry> {
    let payloads = payloads().into_iter().map(|(_, payload)| payload);
    (first..).zip(payloads).map(|(index, payload)| Entry { term: 3, index, payload }).collect()
}

pub fn hard_state(term: u64) -> HardState {
    HardState { term, voted_for: Some(2) }
}

pub fn snapshot() -> Snapshot {
    Snapshot { index: 40, term: 2, members: members(), state: b"state\x00\xff".to_vec() }
}

pub fn writes() -> Vec<(&'static str, Write)> {
    let (snapshot, entries) = (Arc::new(snapshot()), entries(41));
    vec![
        ("Hard", Write::HardState(hard_state(3))),
        ("Append", Write::Append(entries.clone())),
        ("Truncate", Write::Truncate { from: 43 }),
        ("Slot", Write::Slot { snapshot, hard: hard_state(4), entries }),
    ]
}

fn vote_request() -> VoteRequest {
    VoteRequest {
        term: 5,
        last_index: 44,
        last_term: 3,
        leadership_transfer: true,
        leaderless: false,
    }
}

fn leaderless_vote_request() -> VoteRequest {
    VoteRequest { leadership_transfer: false, leaderless: true, ..vote_request() }
}

fn snapshot_chunk() -> SnapshotChunk {
    SnapshotChunk {
        term: 5,
        index: 40,
        snapshot_term: 2,
        members: members(),
        offset: 1_000,
        total_bytes: 2_000,
        bytes: b"part\xff".to_vec(),
        sent_ms: 123_456,
        checksum: 0xdead_beef,
    }
}

fn snapshot_response() -> SnapshotResponse {
    let (received_bytes, sent_ms) = (1_500, 123_456);
    SnapshotResponse { term: 5, index: 40, received_bytes, done: true, sent_ms, offset: 1_000 }
}

fn append() -> AppendRequest {
    let entries = entries(41);
    AppendRequest {
        term: 5,
        prev_index: 40,
        prev_term: 2,
        entries,
        commit_index: 39,
        sent_ms: 123_456,
    }
}

/// Returns every message with the name of its variant on the wire, and a further word if a variant
/// is there twice.
pub fn messages() -> Vec<(&'static str, Message)> {
    let response =
        AppendResponse { term: 5, match_index: Some(43), next_index_hint: 44, sent_ms: 123_456 };
    let timeout_now =
        TimeoutNow { term: 5, sent_ms: 123_456, handover_state: b"note\xff".to_vec() };
    vec![
        ("PreVote", Message::PreVote(vote_request())),
        ("PreVote clear", Message::PreVote(leaderless_vote_request())),
        ("PreVoteResponse", Message::PreVoteResponse { term: 5, granted: true }),
        ("Vote", Message::Vote(vote_request())),
        ("VoteResponse", Message::VoteResponse { term: 6, granted: true }),
        ("Append", Message::Append(append())),
        ("AppendResponse", Message::AppendResponse(response)),
        ("Snapshot", Message::Snapshot(snapshot_chunk())),
        ("SnapshotResponse", Message::SnapshotResponse(snapshot_response())),
        ("TakeOver", Message::TimeoutNow(timeout_now)),
        ("Who", Message::LeaderProbe { term: 5, round: 77 }),
        ("WhoResponse", Message::LeaderProbeResponse { term: 5, round: 77, not_leading: true }),
        ("Leaving", Message::DepartureRequest(DepartureRequest { last_index: 44 })),
        ("MayLeave", Message::DepartureGranted(DepartureGranted { last_index: 45 })),
    ]
}
