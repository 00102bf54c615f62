//! Messages between members. They are encoded by position: fields may only be added at the end.

use crate::{Entry, Member};
use serde::{Deserialize, Serialize};

/// RequestVote and pre-vote (thesis, 3.4 and 9.6).
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term in which the candidate campaigns or, for a pre-vote, would campaign.
    pub term: u64,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// The leader relinquished its lease in favour of this candidate (thesis, 3.10).
    pub leadership_transfer: bool,
    /// Every member denied in one probe round that it leads.
    #[serde(default)]
    pub leaderless: bool,
}

/// AppendEntries (thesis, 3.5); without entries a heartbeat.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: u64,
    /// Index of the entry before `entries`.
    pub prev_index: u64,
    /// Term of that entry.
    pub prev_term: u64,
    /// Entries to store, in order.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: u64,
    /// When the leader sent it, by the leader's clock.
    pub sent_ms: u64,
}

/// A follower's response to an append.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The follower's term.
    pub term: u64,
    /// The follower's log equals the leader's up to here; `None` is a refusal.
    pub matched: Option<u64>,
    /// On a refusal the index to continue from, or zero if only a snapshot helps.
    pub hint: u64,
    /// Send time of the answered append, by the leader's clock.
    pub sent_ms: u64,
}

/// InstallSnapshot (thesis, figure 5.3): a chunk of a snapshot's state.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// Last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub snapshot_term: u64,
    /// Configuration at that entry.
    pub members: Vec<Member>,
    /// Position of `bytes` in the state.
    pub offset: u64,
    /// Bytes of the complete state.
    pub total: u64,
    /// This chunk.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// When the leader sent it, by the leader's clock.
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
    /// Bytes of the state received without a gap.
    pub received: u64,
    /// The follower has everything up to `index`.
    pub done: bool,
    /// Send time of the answered chunk, by the leader's clock.
    pub sent_ms: u64,
    /// Where the answered chunk began: beyond `received`, an earlier one is missing.
    #[serde(default)]
    pub offset: u64,
}

/// A leader that has relinquished its lease lets a follower campaign at once (thesis, 3.10).
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct TimeoutNow {
    /// The leader's term.
    pub term: u64,
    /// When the leader sent it, by the leader's clock.
    pub sent_ms: u64,
    /// Opaque to this crate; returned in [`Effect::LeadershipReceived`](crate::Effect).
    #[serde(with = "serde_bytes")]
    pub handover_state: Vec<u8>,
}

/// A member that is about to stop announces it.
#[derive(Clone, Copy, Debug, Hash, Serialize, Deserialize)]
pub struct DepartureRequest {
    /// End of its log.
    pub last_index: u64,
}

/// The leader's response: the log can do without that member.
#[derive(Clone, Copy, Debug, Hash, Serialize, Deserialize)]
pub struct DepartureGranted {
    /// The remaining members have everything up to here.
    pub last_index: u64,
}

/// Any message between members.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Would the recipient vote for the sender?
    PreVote(VoteRequest),
    /// Response to a pre-vote.
    PreVoteResponse {
        /// The requested term if granted, else the voter's term.
        term: u64,
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Request for a vote.
    Vote(VoteRequest),
    /// Response to a vote request.
    VoteResponse {
        /// The voter's term.
        term: u64,
        /// Whether the sender votes for the candidate.
        granted: bool,
    },
    /// Entries or a heartbeat.
    Append(AppendRequest),
    /// Response to an append.
    AppendResponse(AppendResponse),
    /// A chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Response to a chunk.
    SnapshotResponse(SnapshotResponse),
    /// Campaign at once.
    #[serde(rename = "TakeOver")]
    TimeoutNow(TimeoutNow),
    /// Does the recipient lead?
    #[serde(rename = "Who")]
    LeaderProbe {
        /// The sender's term.
        term: u64,
        /// Number of the probe round.
        round: u64,
    },
    /// Response to a leader probe.
    #[serde(rename = "WhoResponse")]
    LeaderProbeResponse {
        /// The sender's term.
        term: u64,
        /// Number of the probe round that it answers.
        round: u64,
        /// The sender does not lead.
        not_leading: bool,
    },
    /// The sender is about to stop.
    #[serde(rename = "Leaving")]
    DepartureRequest(DepartureRequest),
    /// The recipient may stop.
    #[serde(rename = "MayLeave")]
    DepartureGranted(DepartureGranted),
}
