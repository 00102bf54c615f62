//! Two control nodes as a forwarded call sees them: what each has in its log, and whom it answers.
//!
//! The log's records, how they change the state and what a call decides are the real ones; the
//! way of a write through a node mirrors `crates/controller/src/calls.rs` (`on_write`) and
//! `lead.rs` (`reply_at`, `reply_settled`, and what is told on losing the lead). A cut-off node
//! answers from what it knows: the hold that the real one requests for is left out, so that the search
//! sees more than the real nodes do.

use postbarrow_controller::decide;
use postbarrow_messages::Response;
use postbarrow_state::{Call, Name, Outcome, Record, State};
use postbarrow_transactions::Image;
use std::net::SocketAddr;

/// One batch of the log, and the question it came from.
#[derive(Clone, Debug)]
pub struct Entry {
    /// None: another caller's, or the log's own.
    pub source: Option<usize>,
    pub records: Vec<Record>,
}

/// Where a response goes.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    pub client: usize,
    pub key: u64,
}

/// What a node sends back.
pub type Reply = (Origin, Response);

/// One control node.
#[derive(Clone, Debug, Default)]
pub struct Member {
    pub log: Vec<Entry>,
    pub committed: usize,
    /// It takes itself for the leader.
    pub is_leading: bool,
    pub replies: Vec<(usize, Origin, Response)>,
}

/// A write, as its question brings it.
pub struct Write<'a> {
    pub source: usize,
    pub id: Option<Name>,
    pub call: &'a Call,
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
    /// As `on_write`.
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

    /// As `reply_at` of the log's last entry.
    fn reply(&mut self, origin: Origin, response: Response) -> Vec<Reply> {
        if self.committed >= self.log.len() {
            return vec![(origin, response)];
        }
        self.replies.push((self.log.len(), origin, response));
        Vec::new()
    }

    /// All that it has is committed.
    pub fn commit_all(&mut self) -> Vec<Reply> {
        self.committed = self.log.len();
        self.replies.drain(..).map(|(_, origin, response)| (origin, response)).collect()
    }

    /// It hears that another leads, and takes over its log.
    pub fn step_down(&mut self, by: &Member) -> Vec<Reply> {
        self.is_leading = false;
        self.log.clone_from(&by.log);
        self.committed = by.committed;
        self.replies.drain(..).map(|(_, origin, _)| (origin, Response::Lost)).collect()
    }
}

/// As a node that does not lead answers.
pub fn not_controller(controller: SocketAddr) -> Response {
    Response::NotController { controller: Some(controller) }
}

/// Whether a response says that the call was not done.
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
