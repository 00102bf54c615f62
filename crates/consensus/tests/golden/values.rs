//! One value of each stored and sent type of this crate. No field has its default, and no two
//! fields of one struct are equal, so that a field that moves shows in the bytes.
#![allow(dead_code)]

use postbarrow_consensus::*;
use std::sync::Arc;

pub fn member(id: u8) -> Member {
    Member { id: id.into(), address: ([10, 1, 0, id], 7_000).into() }
}

fn members() -> Vec<Member> {
    let third = Member { id: u64::MAX, address: "[2001:db8::3]:7000".parse().expect("an address") };
    vec![member(1), member(2), third]
}

pub fn payloads() -> Vec<(&'static str, Payload)> {
    vec![
        ("TermStart", Payload::TermStart),
        ("Members", Payload::Members(members())),
        ("Batch", Payload::Batch(b"\x01batch\xff".to_vec())),
    ]
}

/// An entry of every payload, in an unbroken row.
pub fn entries(first: u64) -> Vec<Entry> {
    let payloads = payloads().into_iter().map(|(_, payload)| payload);
    (first..).zip(payloads).map(|(index, payload)| Entry { term: 3, index, payload }).collect()
}

pub fn hard(term: u64) -> Hard {
    Hard { term, voted: Some(2) }
}

pub fn snapshot() -> Snapshot {
    Snapshot { index: 40, term: 2, members: members(), state: b"state\x00\xff".to_vec() }
}

pub fn writes() -> Vec<(&'static str, Write)> {
    let (snapshot, entries) = (Arc::new(snapshot()), entries(41));
    vec![
        ("Hard", Write::Hard(hard(3))),
        ("Append", Write::Append(entries.clone())),
        ("Truncate", Write::Truncate { from: 43 }),
        ("Slot", Write::Slot { snapshot, hard: hard(4), entries }),
    ]
}

fn vote_ask() -> VoteAsk {
    VoteAsk { term: 5, last: 44, last_term: 3, handed: true, clear: false }
}

fn clear_vote_ask() -> VoteAsk {
    VoteAsk { handed: false, clear: true, ..vote_ask() }
}

fn snapshot_part() -> SnapshotPart {
    SnapshotPart {
        term: 5,
        index: 40,
        index_term: 2,
        members: members(),
        offset: 1_000,
        total: 2_000,
        bytes: b"part\xff".to_vec(),
        sent_ms: 123_456,
        checksum: 0xdead_beef,
    }
}

fn snapshot_response() -> SnapshotResponse {
    let (received, sent_ms) = (1_500, 123_456);
    SnapshotResponse { term: 5, index: 40, received, done: true, sent_ms, offset: 1_000 }
}

fn append() -> Append {
    let entries = entries(41);
    Append { term: 5, prev: 40, prev_term: 2, entries, commit: 39, sent_ms: 123_456 }
}

/// Every message, by its sent name.
pub fn messages() -> Vec<(&'static str, Message)> {
    let response = AppendResponse { term: 5, matched: Some(43), hint: 44, sent_ms: 123_456 };
    let take_over = TakeOver { term: 5, sent_ms: 123_456, note: b"note\xff".to_vec() };
    vec![
        ("PreVote", Message::PreVote(vote_ask())),
        ("PreVote clear", Message::PreVote(clear_vote_ask())),
        ("PreVoteResponse", Message::PreVoteResponse { term: 5, granted: true }),
        ("Vote", Message::Vote(vote_ask())),
        ("VoteResponse", Message::VoteResponse { term: 6, granted: true }),
        ("Append", Message::Append(append())),
        ("AppendResponse", Message::AppendResponse(response)),
        ("Snapshot", Message::Snapshot(snapshot_part())),
        ("SnapshotResponse", Message::SnapshotResponse(snapshot_response())),
        ("TakeOver", Message::TakeOver(take_over)),
        ("Who", Message::Who { term: 5, round: 77 }),
        ("WhoResponse", Message::WhoResponse { term: 5, round: 77, free: true }),
        ("Leaving", Message::Leaving(Leaving { last: 44 })),
        ("MayLeave", Message::MayLeave(MayLeave { last: 45 })),
    ]
}
