//! What the owner of a [`Consensus`](crate::Consensus) gives it and gets from it.

use crate::{Entry, Member, Message, Role, Snapshot, Write};
use std::sync::Arc;

/// Something that happened to this member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; given every `TICK_MS`.
    Tick,
    /// All writes up to this sequence are synced to disk.
    Synced(u64),
    /// A message arrived.
    Receive {
        /// Its sender.
        from: Member,
        /// The message.
        message: Message,
    },
    /// Append these batches, one entry each; ignored unless this member leads.
    Propose(Vec<Vec<u8>>),
    /// First start: all of these members have an empty disk and name the same members.
    Bootstrap(Vec<Member>),
    /// A process that is no voter asks to follow the log; ignored unless this member leads.
    AddLearner(Member),
    /// The application's state at a committed index: entries that it covers may be dropped.
    Compact {
        /// Last entry applied to the state.
        index: u64,
        /// The state, encoded.
        state: Vec<u8>,
    },
    /// Relinquish the lease and let a caught-up follower campaign at once; it receives this
    /// handover state. Ignored unless this member leads.
    TransferLeadership(Vec<u8>),
    /// This member is about to stop: it gives up its seat if a learner can take it.
    Depart,
}

/// Something that the owner must carry out. Effects are carried out in their order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost, duplicated or delayed.
    Send {
        /// Its recipient.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Write to disk, and report the sequence by [`Input::Synced`] once it is synced.
    Write {
        /// Number of the write; sequences grow by one.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// These entries are committed: apply them, in order.
    Commit(Vec<Entry>),
    /// Replace the application's state by this snapshot.
    Restore(Arc<Snapshot>),
    /// This member's role has changed.
    Role(Role),
    /// The leader transferred leadership to this member, which campaigns now.
    LeadershipReceived {
        /// What the former leader sent along.
        handover_state: Vec<u8>,
        /// Milliseconds by which the transfer was delayed beyond the fastest message of that
        /// leader.
        late_ms: u64,
    },
}
