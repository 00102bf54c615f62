#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod append_handling;
mod bootstrap;
mod campaign;
mod commit;
mod compaction;
mod deferred_sends;
mod departure;
mod departure_granting;
mod disk_health;
mod durability;
mod eligibility;
mod entry;
mod fingerprint;
mod in_flight;
mod incoming_snapshot;
mod interface;
mod leader_contact;
mod leader_lease;
mod leader_probe;
mod leader_state;
mod leadership_transfer;
mod member;
mod membership;
mod messages;
mod node;
mod outgoing_snapshot;
mod persistent_state;
mod progress;
mod raft_log;
mod replication;
mod role;
mod snapshot_installation;
mod snapshot_sending;
mod vote_granting;

pub use entry::{Entry, Payload};
pub use fingerprint::FingerprintTime;
pub use interface::{Effect, Input};
pub use leader_state::FollowerStatus;
pub use member::{Member, MemberId};
pub use messages::{
    AppendRequest, AppendResponse, DepartureGranted, DepartureRequest, Message, SnapshotChunk,
    SnapshotResponse, TimeoutNow, VoteRequest,
};
pub use node::Consensus;
pub use persistent_state::{HardState, RecoveredState, Snapshot, Write};
pub use raft_log::RaftLog;
pub use role::Role;
