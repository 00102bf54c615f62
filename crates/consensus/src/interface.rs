//! Inputs that the owner of a [`Consensus`](crate::Consensus) passes to it, and effects that it
//! returns to its owner.

use crate::{Entry, Member, Message, Role, Snapshot, Write};
use std::sync::Arc;

/// An event that a member handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. The owner passes this input every `TICK_MS`.
    Tick,
    /// All writes up to this sequence number are synced to disk.
    Synced(u64),
    /// A message of another member arrived.
    Receive {
        /// Sender of the message.
        from: Member,
        /// The message that arrived.
        message: Message,
    },
    /// Append these batches of application bytes to the log, each as one entry. Ignored unless this
    /// member leads.
    Propose(Vec<Vec<u8>>),
    /// Start a new log with these voters: all of them have an empty disk and are given the same
    /// list. Ignored unless this member is uninitialized and in the list.
    Bootstrap(Vec<Member>),
    /// Add this process as a learner, which follows the log without a vote; if it is a voter
    /// already, update its address. Ignored unless this member leads.
    AddLearner(Member),
    /// Replace the beginning of the log by a snapshot of the application's state at a committed
    /// index: entries that the snapshot covers may be dropped. Ignored unless the index is beyond
    /// that of the newest snapshot.
    Compact {
        /// Index of the last entry applied to the state.
        index: u64,
        /// Encoded state of the application.
        state: Vec<u8>,
    },
    /// Relinquish the lease and let a caught-up follower campaign at once. The follower receives
    /// this handover state. Ignored unless this member leads and such a follower exists.
    TransferLeadership(Vec<u8>),
    /// Start this member's departure before a planned stop: if a learner can replace it, the leader
    /// removes it from the voters. [`Consensus::has_departed`](crate::Consensus::has_departed)
    /// returns whether the departure is complete.
    Depart,
    /// Whether this member may lead; it may from its start. One that may not steps down and does
    /// not campaign, but stores and acknowledges entries and votes as before.
    SetCanLead(bool),
}

/// An action that the owner must carry out. Effects are carried out in the order in which they are
/// returned.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message, which may be lost, duplicated or delayed.
    Send {
        /// Recipient of the message.
        to: Member,
        /// The message to send.
        message: Message,
    },
    /// Write to disk, and report the sequence number by [`Input::Synced`] once the write is synced.
    Write {
        /// Sequence number of the write, one more than that of the write before.
        sequence: u64,
        /// The change to the state on disk.
        write: Write,
    },
    /// These entries are committed: apply them, in order.
    Commit(Vec<Entry>),
    /// Replace the application's state by this snapshot.
    Restore(Arc<Snapshot>),
    /// This member's role has changed to the one given.
    Role(Role),
    /// The leader transferred leadership to this member, which starts an election now.
    LeadershipReceived {
        /// State that the former leader's owner passed to [`Input::TransferLeadership`].
        handover_state: Vec<u8>,
        /// Milliseconds by which the transfer message took longer than the fastest message of that
        /// leader.
        late_ms: u64,
    },
}
