//! Two control nodes as a forwarded call meets them: their logs, and their pending replies.
//!
//! The log's records, how they change the state and what a call decides are the real ones; the path
//! of a write through a node mirrors the controller's handling of calls and of the replies that
//! wait for a commit or for the end of leadership. A partitioned node answers from what it knows:
//! the real node's check of its lease is omitted, so that the search covers more than the real
//! nodes do.

use postbarrow_controller::decide;
use postbarrow_messages::Response;
use postbarrow_state::{Call, Name, Outcome, Record, State};
use postbarrow_transactions::Image;
use std::net::SocketAddr;

/// One batch of the log, and the call that it came from.
#[derive(Clone, Debug)]
pub struct Entry {
    /// `None`: another caller's, or the log's own.
    pub source: Option<usize>,
    /// Its records.
    pub records: Vec<Record>,
}

/// The client and key that a response is for.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// The member whose client sent it.
    pub client: usize,
    /// The request's key.
    pub key: u64,
}

/// What a node sends back.
pub type Reply = (Origin, Response);

/// One control node.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its log.
    pub log: Vec<Entry>,
    /// How many entries are committed as it knows.
    pub committed: usize,
    /// It believes that it leads.
    pub is_leading: bool,
    /// Replies that wait for the commit of a log of this length.
    pub replies: Vec<(usize, Origin, Response)>,
}

/// A write as its request carries it.
pub struct Write<'a> {
    /// The call that it comes from.
    pub source: usize,
    /// The call's idempotency id.
    pub id: Option<Name>,
    /// The call.
    pub call: &'a Call,
    /// Whether the log has no space.
    pub full: bool,
}

/// The state after these entries.
pub fn state_of(log: &[Entry]) -> State {
    let mut state = State::default();
    for (at, entry) in log.iter().enumerate() {
        entry.records.iter().for_each(|record| state.apply(at as u64, record));
    }
    state
}

impl Member {
    /// Decides a write as the controller does.
    pub fn accept_write(&mut self, origin: Origin, write: Write<'_>) -> Vec<Reply> {
        let state = state_of(&self.log);
        if let Some(known) = write.id.as_ref().and_then(|id| state.repeats.get(id)) {
            return self.reply(origin, Response::Outcome(known.as_ref().clone()));
        }
        let (outcome, mut records) = decide(&state, write.call);
        if records.is_empty() {
            return self.reply(origin, Response::Outcome(outcome));
        }
        if write.full {
            return self.reply(origin, Response::Full);
        }
        if let Some(id) = write.id {
            records.push(Record::Repeat { id, outcome: outcome.clone() });
        }
        self.log.push(Entry { source: Some(write.source), records });
        self.reply(origin, Response::Outcome(outcome))
    }

    /// Replies once the log's last entry is committed.
    fn reply(&mut self, origin: Origin, response: Response) -> Vec<Reply> {
        if self.committed >= self.log.len() {
            return vec![(origin, response)];
        }
        self.replies.push((self.log.len(), origin, response));
        Vec::new()
    }

    /// Commits the whole log; returns the replies that waited for it.
    pub fn commit_all(&mut self) -> Vec<Reply> {
        self.committed = self.log.len();
        self.replies.drain(..).map(|(_, origin, response)| (origin, response)).collect()
    }

    /// Learns that another leads and adopts its log; pending replies become `Lost`.
    pub fn step_down(&mut self, by: &Member) -> Vec<Reply> {
        self.is_leading = false;
        self.log.clone_from(&by.log);
        self.committed = by.committed;
        self.replies.drain(..).map(|(_, origin, _)| (origin, Response::Lost)).collect()
    }
}

/// The response of a node that does not lead.
pub fn not_controller(controller: SocketAddr) -> Response {
    Response::NotController { controller: Some(controller) }
}

/// Whether a response says that the call took no effect.
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
