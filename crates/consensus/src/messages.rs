//! Messages between members. Fields are encoded by position, so new ones may only be added at the
//! end.

use crate::{Entry, Member};
use serde::{Deserialize, Serialize};

/// Arguments of RequestVote and of a pre-vote request (thesis, 3.4 and 9.6).
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term in which the candidate campaigns or, for a pre-vote, would campaign.
    pub term: u64,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// Whether the leader relinquished its lease in favour of this candidate (thesis, 3.10).
    pub leadership_transfer: bool,
    /// Whether every member reported in one probe round that it does not lead.
    #[serde(default)]
    pub leaderless: bool,
}

/// Arguments of AppendEntries (thesis, 3.5); without entries it is a heartbeat.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: u64,
    /// Index of the entry before `entries`.
    pub prev_index: u64,
    /// Term of the entry at `prev_index`.
    pub prev_term: u64,
    /// Entries to store, in order.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit_index: u64,
    /// Time at which the leader sent the append, in milliseconds of the leader's clock.
    pub sent_ms: u64,
}

/// A follower's response to an append.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The follower's term.
    pub term: u64,
    /// Index up to which the follower's log equals the leader's; absent if the follower refused the
    /// append.
    pub match_index: Option<u64>,
    /// On a refusal, the index from which the leader should continue. Zero if the follower is
    /// uninitialized and so needs a snapshot, or if the append was of an earlier term.
    pub next_index_hint: u64,
    /// Send time of the answered append, in milliseconds of the leader's clock; zero if the append
    /// was of an earlier term.
    pub sent_ms: u64,
}

/// Arguments of InstallSnapshot (thesis, figure 5.3): a chunk of a snapshot's state.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of the entry at `index`.
    pub snapshot_term: u64,
    /// Voters of the configuration that applies at `index`.
    pub members: Vec<Member>,
    /// Offset of `bytes` in the state, in bytes.
    pub offset: u64,
    /// Size of the complete state in bytes.
    pub total_bytes: u64,
    /// The part of the state that this chunk contains.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Time at which the leader sent the chunk, in milliseconds of the leader's clock.
    pub sent_ms: u64,
    /// CRC-32 of the complete state, so that chunks of two snapshots are never joined.
    #[serde(default)]
    pub checksum: u32,
}

/// A follower's response to a snapshot chunk.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// The follower's term.
    pub term: u64,
    /// Index of the snapshot that the chunk belongs to.
    pub index: u64,
    /// Number of bytes from the beginning of the state that were received without a gap.
    pub received_bytes: u64,
    /// Whether the follower has the state up to `index`, so that no more chunks are needed.
    pub done: bool,
    /// Send time of the answered chunk, in milliseconds of the leader's clock.
    pub sent_ms: u64,
    /// Offset of the answered chunk in the state, in bytes. If it is larger than the number of bytes
    /// received without a gap, an earlier chunk is missing.
    #[serde(default)]
    pub offset: u64,
}

/// Arguments of TimeoutNow (thesis, 3.10): a leader that has relinquished its lease lets a follower
/// campaign at once.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct TimeoutNow {
    /// The leader's term.
    pub term: u64,
    /// Time at which the leader sent the request, in milliseconds of the leader's clock.
    pub sent_ms: u64,
    /// State that the leader's owner hands over. It is opaque to this crate, and is returned in
    /// [`Effect::LeadershipReceived`](crate::Effect).
    #[serde(with = "serde_bytes")]
    pub handover_state: Vec<u8>,
}

/// Announcement of a member that it is about to stop.
#[derive(Clone, Copy, Debug, Hash, Serialize, Deserialize)]
pub struct DepartureRequest {
    /// Index of the last entry in the departing member's log.
    pub last_index: u64,
}

/// The leader's permission for a member to stop: the log no longer depends on that member.
#[derive(Clone, Copy, Debug, Hash, Serialize, Deserialize)]
pub struct DepartureGranted {
    /// Last index that the departing member announced: the responsive voters that remain have all
    /// entries of the leader's log up to it.
    pub last_index: u64,
}

/// Any message between members.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Request for a pre-vote: the response says whether the recipient would vote for the sender.
    PreVote(VoteRequest),
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// The requested term if granted, else the voter's term.
        term: u64,
        /// Whether the voter would vote for the candidate.
        granted: bool,
    },
    /// Request for a vote.
    Vote(VoteRequest),
    /// Response to a vote request.
    VoteResponse {
        /// The voter's term.
        term: u64,
        /// Whether the voter votes for the candidate.
        granted: bool,
    },
    /// Entries or a heartbeat.
    Append(AppendRequest),
    /// Response to an append.
    AppendResponse(AppendResponse),
    /// A chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Response to a snapshot chunk.
    SnapshotResponse(SnapshotResponse),
    /// Request of the leader that the recipient campaigns at once.
    #[serde(rename = "TakeOver")]
    TimeoutNow(TimeoutNow),
    /// Request that the recipient reports whether it leads.
    #[serde(rename = "Who")]
    LeaderProbe {
        /// The sender's term.
        term: u64,
        /// Number of the sender's probe round.
        round: u64,
    },
    /// Response to a leader probe.
    #[serde(rename = "WhoResponse")]
    LeaderProbeResponse {
        /// The sender's term.
        term: u64,
        /// Number of the probe round that is answered.
        round: u64,
        /// Whether the sender of the response does not lead.
        not_leading: bool,
    },
    /// Announcement that the sender is about to stop.
    #[serde(rename = "Leaving")]
    DepartureRequest(DepartureRequest),
    /// Permission of the leader for the recipient to stop.
    #[serde(rename = "MayLeave")]
    DepartureGranted(DepartureGranted),
}
