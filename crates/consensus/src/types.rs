use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

pub type MemberId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub id: MemberId,
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    TermStart,
    Members(Vec<Member>),
    #[serde(with = "serde_bytes")]
    Batch(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub index: u64,
    pub payload: Payload,
}

impl Entry {
    pub fn size(&self) -> usize {
        32 + match &self.payload {
            Payload::TermStart => 0,
            Payload::Members(members) => members.len() * 40,
            Payload::Batch(bytes) => bytes.len(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub voted_for: Option<MemberId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Vec<Member>,
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// What the disk gave back at start; all empty for a new one.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    pub term: u64,
    pub voted_for: Option<MemberId>,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    pub term: u64,
    pub last_index: u64,
    pub last_term: u64,
    /// The leader itself gave up its lease for this one.
    pub leadership_transfer: bool,
    /// In one round every member said that it does not lead.
    #[serde(default)]
    pub leaderless: bool,
}

#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct AppendRequest {
    pub term: u64,
    pub prev_index: u64,
    pub prev_term: u64,
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub sent_ms: u64,
}

#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct AppendResponse {
    pub term: u64,
    pub matched: Option<u64>,
    pub hint: u64,
    pub sent_ms: u64,
}

#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    pub term: u64,
    pub index: u64,
    pub snapshot_term: u64,
    pub members: Vec<Member>,
    pub offset: u64,
    pub total: u64,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    pub sent_ms: u64,
    /// CRC-32 of the whole state, so that chunks of two snapshots are never joined.
    #[serde(default)]
    pub checksum: u32,
}

#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct SnapshotResponse {
    pub term: u64,
    pub index: u64,
    pub received: u64,
    pub done: bool,
    pub sent_ms: u64,
    /// Where the answered chunk began: beyond `received`, an earlier one is missing.
    #[serde(default)]
    pub offset: u64,
}

/// A leader that has given up its lease for good asks a follower to lead at once.
#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub struct TimeoutNow {
    pub term: u64,
    pub sent_ms: u64,
    #[serde(with = "serde_bytes")]
    pub handover_state: Vec<u8>,
}

/// A member about to end says how far its log goes.
#[derive(Clone, Copy, Debug, Hash, Serialize, Deserialize)]
pub struct DepartureRequest {
    pub last_index: u64,
}

/// The leader's answer: the log can do without that member, and holds all up to here.
#[derive(Clone, Copy, Debug, Hash, Serialize, Deserialize)]
pub struct DepartureGranted {
    pub last_index: u64,
}

#[derive(Clone, Debug, Hash, Serialize, Deserialize)]
pub enum Message {
    PreVote(VoteRequest),
    PreVoteResponse {
        term: u64,
        granted: bool,
    },
    Vote(VoteRequest),
    VoteResponse {
        term: u64,
        granted: bool,
    },
    Append(AppendRequest),
    AppendResponse(AppendResponse),
    Snapshot(SnapshotChunk),
    SnapshotResponse(SnapshotResponse),
    #[serde(rename = "TakeOver")]
    TimeoutNow(TimeoutNow),
    /// Asks whether this one leads.
    #[serde(rename = "Who")]
    LeaderProbe {
        term: u64,
        round: u64,
    },
    #[serde(rename = "WhoResponse")]
    LeaderProbeResponse {
        term: u64,
        round: u64,
        free: bool,
    },
    #[serde(rename = "Leaving")]
    DepartureRequest(DepartureRequest),
    #[serde(rename = "MayLeave")]
    DepartureGranted(DepartureGranted),
}

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Synced(u64),
    Receive {
        from: Member,
        message: Message,
    },
    Propose(Vec<Vec<u8>>),
    Bootstrap(Vec<Member>),
    AddLearner(Member),
    Compact {
        index: u64,
        state: Vec<u8>,
    },
    /// Give up the lease, and let a caught-up follower lead; it is given the note.
    TransferLeadership(Vec<u8>),
    /// This member is asked to stop: it gives up its seat if a learner stands ready.
    Depart,
}

#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Write {
    #[serde(rename = "Hard")]
    HardState(HardState),
    Append(Vec<Entry>),
    Truncate {
        from: u64,
    },
    Slot {
        snapshot: Arc<Snapshot>,
        hard: HardState,
        entries: Vec<Entry>,
    },
}

#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: Member,
        message: Message,
    },
    Write {
        sequence: u64,
        write: Write,
    },
    Commit(Vec<Entry>),
    Restore(Arc<Snapshot>),
    Role(Role),
    /// The leader's note at its end, and by how much longer than others it was under way.
    LeadershipReceived {
        note: Vec<u8>,
        late_ms: u64,
    },
}
