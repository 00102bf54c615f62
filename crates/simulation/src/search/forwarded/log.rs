//! The part of two control nodes that decides and answers forwarded calls: their logs and their
//! pending replies.
//!
//! The log's records, their effect on the state and the decision of a call are those of the real
//! code. The path of a write through a node is modelled after the controller's handling of calls
//! and of the replies that wait for a commit or for the end of leadership. The real node's lease
//! check is omitted: a partitioned node answers from its own state, so that the search covers more
//! behaviour than the real nodes have.

use postbarrow_controller::{GrantVersions, decide_call};
use postbarrow_messages::Response;
use postbarrow_state::{Call, Name, Outcome, Record, State};
use postbarrow_transactions::Image;
use std::net::SocketAddr;

/// One batch of records in the log, and the call that it came from.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The index of the call that wrote the batch; `None` if another caller or the log itself did.
    pub source: Option<usize>,
    /// The records of the batch, in order.
    pub records: Vec<Record>,
}

/// The client and the request key that a response belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// The index of the member whose client sent the request.
    pub client: usize,
    /// The key by which the client matches the response to its request.
    pub key: u64,
}

/// A response with its destination.
pub type Reply = (Origin, Response);

/// One control node as far as the model has it.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The node's log, committed entries first.
    pub log: Vec<Entry>,
    /// Number of entries at the start of the log that the node knows to be committed.
    pub committed: usize,
    /// Whether the node believes that it is the leader; after an election both may.
    pub is_leading: bool,
    /// The replies that wait for a commit, each with the length of the log that must be committed.
    pub pending_replies: Vec<(usize, Origin, Response)>,
    /// The versions of the locks' grants in the node's term as leader.
    pub grants: GrantVersions,
}

/// The write of a forwarded call, and whether the log can take it.
pub struct Write<'a> {
    /// The index of the call in the model.
    pub source: usize,
    /// The call's idempotency id, if it has one.
    pub id: Option<Name>,
    /// The call to decide.
    pub call: &'a Call,
    /// Whether the log has no space.
    pub log_full: bool,
    /// Whether a release is executed without regard to the version of the lock's grant.
    pub ignores_grant_versions: bool,
}

/// Returns the state after these entries.
pub fn state_of(log: &[Entry]) -> State {
    let mut state = State::default();
    for (index, entry) in log.iter().enumerate() {
        entry.records.iter().for_each(|record| state.apply(index as u64, record));
    }
    state
}

impl Member {
    /// Decides a write as the controller does; returns the reply unless it must wait for a commit.
    pub fn accept_write(&mut self, origin: Origin, write: Write<'_>) -> Vec<Reply> {
        let state = state_of(&self.log);
        if let Some(known) = write.id.as_ref().and_then(|id| state.stored_outcomes.get(id)) {
            self.grants.on_outcome(&state, write.call, known);
            return self.reply(origin, Response::Outcome(known.as_ref().clone()));
        }
        if let Some(version) = self.grants.required_confirmation(&state, write.call)
            && !write.ignores_grant_versions
        {
            return vec![(origin, Response::ConfirmClient { version })];
        }
        let (outcome, mut records) = decide_call(&state, write.call);
        if write.log_full && !records.is_empty() {
            return self.reply(origin, Response::Full);
        }
        self.grants.on_outcome(&state, write.call, &outcome);
        if records.is_empty() {
            return self.reply(origin, Response::Outcome(outcome));
        }
        if let Some(id) = write.id {
            records.push(Record::Repeat { id, outcome: outcome.clone() });
        }
        self.log.push(Entry { source: Some(write.source), records });
        self.reply(origin, Response::Outcome(outcome))
    }

    /// Returns the reply if the whole log is committed, and retains it until then otherwise.
    fn reply(&mut self, origin: Origin, response: Response) -> Vec<Reply> {
        if self.committed >= self.log.len() {
            return vec![(origin, response)];
        }
        self.pending_replies.push((self.log.len(), origin, response));
        Vec::new()
    }

    /// Commits the whole log; returns the replies that waited for the commit.
    pub fn commit_all(&mut self) -> Vec<Reply> {
        self.committed = self.log.len();
        self.pending_replies.drain(..).map(|(_, origin, response)| (origin, response)).collect()
    }

    /// Steps down and adopts the log of the new leader; returns `Lost` for each pending reply.
    pub fn step_down(&mut self, leader: &Member) -> Vec<Reply> {
        self.is_leading = false;
        self.log.clone_from(&leader.log);
        self.committed = leader.committed;
        self.pending_replies.drain(..).map(|(_, origin, _)| (origin, Response::Lost)).collect()
    }
}

/// Returns the response of a node that does not lead, with the address of the controller.
pub fn not_controller(controller: SocketAddr) -> Response {
    Response::NotController { controller: Some(controller) }
}

/// Returns whether a response states that the call took no effect.
pub fn is_refusal(response: &Response) -> bool {
    use Outcome::{Conflict, LockedByOther, NoKey, NotOwner};
    match response {
        Response::Full => true,
        Response::Outcome(outcome) => {
            matches!(outcome, LockedByOther { .. } | NotOwner | Conflict { .. } | NoKey)
        }
        _ => false,
    }
}
